#pragma once

#include <msgpack.hpp>
#include <vector>

#include "relay/admission/model_admission.h"

namespace qp::relay {

void PackAdmission(msgpack::packer<msgpack::sbuffer>& packer,
                   const std::vector<AdmissionReport>& reports);
/// Throws msgpack::type_error if the object has another layout.
std::vector<AdmissionReport> DecodeAdmission(const msgpack::object& object);

}  // namespace qp::relay
