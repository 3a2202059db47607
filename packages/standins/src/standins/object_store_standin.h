#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "standins/standin.h"

namespace qp::standins {

/// Object store: PUT, GET and DELETE of whole objects by key.
class ObjectStoreStandin : public Standin {
 public:
  explicit ObjectStoreStandin(Clock& clock);

 protected:
  Task<void> Serve(http::Request request, http::Responder& responder) override;
  nlohmann::json Record(std::size_t since) const override;

 private:
  std::map<std::string, std::string> objects;
  std::uint64_t writes = 0;
  std::uint64_t reads = 0;
};

}  // namespace qp::standins
