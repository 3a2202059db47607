#pragma once

#include <log4cplus/appender.h>

#include <cstdint>

namespace qp {

/// Writes log lines to standard output and never blocks on its reader: a line
/// that standard output cannot accept at once is dropped and counted.
class StdoutAppender : public log4cplus::Appender {
 public:
  /// A pipe accepts a write of up to this size whole or not at all.
  static constexpr std::size_t kMaxLineBytes = 4096;

  ~StdoutAppender() override;
  void close() override;

 protected:
  void append(const log4cplus::spi::InternalLoggingEvent& event) override;

 private:
  std::uint64_t dropped_lines = 0;
};

}  // namespace qp
