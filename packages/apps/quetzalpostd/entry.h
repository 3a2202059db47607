#pragma once

#include <string>

namespace qp {

/// Relays the requests of a deployment until it is told to stop; returns the
/// exit code. An empty path stands for the file that the platform names.
int RunEntry(const std::string& settings_path, bool check_only);

}  // namespace qp
