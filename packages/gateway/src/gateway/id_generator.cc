#include "gateway/id_generator.h"

#include <iomanip>
#include <sstream>

namespace qp {

std::string IdGenerator::Next() {
  constexpr int kDigits = 16;
  std::ostringstream text;
  text << std::hex << std::setw(kDigits) << std::setfill('0') << this->random();
  return text.str();
}

}  // namespace qp
