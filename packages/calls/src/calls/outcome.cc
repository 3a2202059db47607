#include "calls/outcome.h"

namespace qp {

std::string_view ToString(Outcome outcome) {
  switch (outcome) {
    case Outcome::kComplete:
      return "complete";
    case Outcome::kNotRun:
      return "not_run";
    case Outcome::kUnknown:
      return "unknown";
  }
  return "unknown";
}

}  // namespace qp
