#include "cluster/version_agreement.h"

namespace qp {

bool VersionAgreement::Update(std::size_t members, std::size_t knowing,
                              TimePoint now) {
  if (!this->began_at) {
    this->began_at = now;
  }
  if (knowing >= members && now >= *this->began_at + kActivationDelay) {
    return true;
  }
  if (!this->half_at && 2 * knowing >= members) {
    this->half_at = now;
  }
  return this->half_at && now >= *this->half_at + kActivationDelay;
}

}  // namespace qp
