#pragma once

namespace qp {

inline constexpr int kExitUsage = 2;
inline constexpr int kExitStart = 3;

}  // namespace qp
