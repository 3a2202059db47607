#pragma once

#include <cstdint>
#include <deque>
#include <nlohmann/json.hpp>

#include "standins/standin.h"

namespace qp::standins {

struct VmListOptions {
  Duration lag{0};  ///< From a PUT to its visibility.
};

/// The platform's list of VMs. `PUT /v1/vms` replaces the list; `GET /v1/vms`
/// shows it as it was `lag` and the switch load_lag_ms ago.
class VmListStandin : public Standin {
 public:
  VmListStandin(Clock& clock, VmListOptions options);

 protected:
  Task<void> Serve(http::Request request, http::Responder& responder) override;
  nlohmann::json Record(std::size_t since) const override;

 private:
  struct Version {
    TimePoint at;
    nlohmann::json vms;
  };

  const nlohmann::json& Visible() const;

  VmListOptions options;
  std::deque<Version> versions;
  std::uint64_t reads = 0;
};

}  // namespace qp::standins
