#include "gateway/operator_service.h"

namespace qp {

std::string_view ToString(ChangeStatus status) {
  switch (status) {
    case ChangeStatus::kInForce:
      return "in_force";
    case ChangeStatus::kPending:
      return "pending";
    case ChangeStatus::kRefused:
      return "refused";
    case ChangeStatus::kInvalid:
      return "invalid";
    case ChangeStatus::kUnknown:
      return "unknown";
    case ChangeStatus::kUnavailable:
      return "unavailable";
  }
  return "unknown";
}

}  // namespace qp
