#pragma once

#include <log4cplus/appender.h>

#include <cstdint>

namespace qp {

/// Writes log lines to standard output without ever waiting for its reader:
/// a line for which there is no room is dropped and counted.
class StdoutAppender : public log4cplus::Appender {
 public:
  /// Longest line, in bytes; a pipe takes that much as a whole or not at all.
  static constexpr std::size_t kMaxLine = 4096;

  ~StdoutAppender() override;
  void close() override;

 protected:
  void append(const log4cplus::spi::InternalLoggingEvent& event) override;

 private:
  std::uint64_t dropped = 0;
};

}  // namespace qp
