#include "foundation/stdout_appender.h"

#include <log4cplus/spi/loggingevent.h>
#include <poll.h>
#include <unistd.h>

#include <string>

namespace qp {

StdoutAppender::~StdoutAppender() { this->destructorImpl(); }

void StdoutAppender::close() { this->closed = true; }

void StdoutAppender::append(const log4cplus::spi::InternalLoggingEvent& event) {
  std::string line = this->formatEvent(event);
  if (this->dropped_lines > 0) {
    line = "{\"dropped_lines\":" + std::to_string(this->dropped_lines) + "}\n" +
           line;
  }
  if (line.size() > kMaxLineBytes) {
    line.resize(kMaxLineBytes - 1);
    line += '\n';
  }
  pollfd output{STDOUT_FILENO, POLLOUT, 0};
  const bool has_room = ::poll(&output, 1, 0) == 1 &&
                        (output.revents & POLLOUT) != 0 &&
                        ::write(STDOUT_FILENO, line.data(), line.size()) > 0;
  this->dropped_lines = has_room ? 0 : this->dropped_lines + 1;
}

}  // namespace qp
