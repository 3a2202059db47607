#include "cluster/version_agreement.h"

namespace qp {

bool VersionAgreement::Update(std::size_t members, std::size_t informed,
                              TimePoint now) {
  if (!this->first_update_at) {
    this->first_update_at = now;
  }
  if (informed >= members && now >= *this->first_update_at + kActivationDelay) {
    return true;
  }
  if (!this->half_informed_at && 2 * informed >= members) {
    this->half_informed_at = now;
  }
  return this->half_informed_at &&
         now >= *this->half_informed_at + kActivationDelay;
}

}  // namespace qp
