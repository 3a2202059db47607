#include "foundation/spawn.h"

#include <cstdio>
#include <exception>
#include <memory>
#include <utility>

#include "foundation/wait.h"

namespace qp {

namespace {

/// Keeps the listener of an execution context.
class TaskFailures : public asio::execution_context::service {
 public:
  explicit TaskFailures(asio::execution_context& context)
      : asio::execution_context::service(context) {}

  void SetListener(TaskFailureListener* receiver) { this->listener = receiver; }

  void Report(const std::string& task, std::exception_ptr failure) {
    std::string detail = "unknown exception";
    try {
      std::rethrow_exception(std::move(failure));
    } catch (const std::exception& known) {
      detail = known.what();
    } catch (...) {
    }
    if (this->listener != nullptr) {
      this->listener->OnTaskFailed(task, detail);
    } else {
      std::fprintf(stderr, "task %s failed: %s\n", task.c_str(),
                   detail.c_str());
    }
  }

  static asio::execution_context::id id;

 private:
  void shutdown() noexcept override { this->listener = nullptr; }

  TaskFailureListener* listener = nullptr;
};

asio::execution_context::id TaskFailures::id;

TaskFailures& FailuresOf(const asio::any_io_executor& executor) {
  return asio::use_service<TaskFailures>(
      asio::query(executor, asio::execution::context));
}

struct Loop {
  TaskFailures& failures;
  Clock& clock;
  std::string name;
  std::function<Task<void>()> body;
};

Task<void> RunLoop(std::shared_ptr<Loop> loop) {
  while (true) {
    std::exception_ptr failure;
    try {
      auto run = loop->body();
      co_await std::move(run);
    } catch (...) {
      failure = std::current_exception();
    }
    if (!failure) {
      co_return;
    }
    loop->failures.Report(loop->name, std::move(failure));
    co_await SleepFor(loop->clock, kLoopRestartDelay);
  }
}

}  // namespace

void SetTaskFailureListener(asio::execution_context& context,
                            TaskFailureListener* listener) {
  asio::use_service<TaskFailures>(context).SetListener(listener);
}

void Spawn(const asio::any_io_executor& executor, std::string name,
           Task<void> task) {
  TaskFailures& failures = FailuresOf(executor);
  asio::co_spawn(
      executor, std::move(task),
      [&failures, task_name = std::move(name)](std::exception_ptr failure) {
        if (failure) {
          failures.Report(task_name, std::move(failure));
        }
      });
}

void Spawn(asio::io_context& io, std::string name, Task<void> task) {
  Spawn(asio::any_io_executor(io.get_executor()), std::move(name),
        std::move(task));
}

void SpawnLoop(const asio::any_io_executor& executor, Clock& clock,
               std::string name, std::function<Task<void>()> body) {
  auto loop = std::make_shared<Loop>(
      Loop{FailuresOf(executor), clock, name, std::move(body)});
  Spawn(executor, std::move(name), RunLoop(std::move(loop)));
}

void SpawnLoop(asio::io_context& io, Clock& clock, std::string name,
               std::function<Task<void>()> body) {
  SpawnLoop(asio::any_io_executor(io.get_executor()), clock, std::move(name),
            std::move(body));
}

}  // namespace qp
