#pragma once

#include <string>
#include <vector>

#include "foundation/asio.h"
#include "foundation/error.h"

namespace qp {

enum class VmState { kLive, kLeaving };

/// One VM in the platform's list. The list lags behind the VM's real state.
struct Vm {
  std::string name;
  std::string role;     ///< "entry", "engine" or "service".
  std::string address;  ///< "IP:port"; the peer address for an entry VM.
  std::string region;
  std::string availability_zone;
  VmState state = VmState::kLive;
};

class VmList {
 public:
  virtual ~VmList() = default;
  virtual Task<Result<std::vector<Vm>>> Fetch() = 0;
};

}  // namespace qp
