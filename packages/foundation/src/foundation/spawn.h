#pragma once

#include <functional>
#include <string>
#include <string_view>

#include "foundation/asio.h"
#include "foundation/clock.h"

namespace qp {

/// Receives the exceptions that leave tasks which nobody awaits.
class TaskFailureListener {
 public:
  virtual ~TaskFailureListener() = default;
  /// `task` is the name given to Spawn or SpawnLoop, `detail` the text of the
  /// exception.
  virtual void OnTaskFailed(std::string_view task, std::string_view detail) = 0;
};

/// Sets the listener for the tasks on `context`. Null, the default, stands for
/// a line on standard error. The listener must live until it is replaced.
void SetTaskFailureListener(asio::execution_context& context,
                            TaskFailureListener* listener);

/// Starts a task that nobody awaits. An exception that leaves it ends the task
/// and is reported. The product starts tasks only with this function and
/// SpawnLoop; scripts/lint refuses asio::co_spawn elsewhere.
void Spawn(const asio::any_io_executor& executor, std::string name,
           Task<void> task);
void Spawn(asio::io_context& io, std::string name, Task<void> task);

/// Time after an exception at which a loop is started again.
inline constexpr Duration kLoopRestartDelay = std::chrono::seconds(1);

/// Runs `body` until it returns. After an exception, which is reported, runs it
/// again, so that `body` must restore its state or start from any state. For
/// the loops of the process and for work that must not be given up.
void SpawnLoop(const asio::any_io_executor& executor, Clock& clock,
               std::string name, std::function<Task<void>()> body);
void SpawnLoop(asio::io_context& io, Clock& clock, std::string name,
               std::function<Task<void>()> body);

}  // namespace qp
