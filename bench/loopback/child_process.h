#ifndef LOOPBACK_CHILD_PROCESS_H
#define LOOPBACK_CHILD_PROCESS_H

#include <chrono>
#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace magnolia::bench {

// Process that this run started. The destructor stops it by its id and reaps
// it.
class ChildProcess {
public:
  // Starts the program with its output redirected to the file. Throws
  // std::runtime_error if it can't be started.
  ChildProcess(const std::vector<std::string> &Command,
               const std::string &OutputFile);
  ~ChildProcess();

  ChildProcess(ChildProcess &&Other) noexcept;
  ChildProcess &operator=(ChildProcess &&) = delete;
  ChildProcess(const ChildProcess &) = delete;
  ChildProcess &operator=(const ChildProcess &) = delete;

  // Sends the signal unless the process has been reaped.
  void signal(int Number) const;

  // Waits for the process to exit and returns its status, or 128 + signal if a
  // signal ended it. Returns none if it still runs after the limit.
  std::optional<int> wait(std::chrono::milliseconds Limit);

  // Sends SIGTERM, then SIGKILL after the grace period.
  void stop(std::chrono::milliseconds Grace);

  // Processor time used so far; 0 if the process has ended.
  [[nodiscard]] std::chrono::nanoseconds processorTime() const;

  [[nodiscard]] pid_t id() const { return Pid; }

private:
  pid_t Pid = -1;
  std::optional<int> Status;
};

// Runs a program until it exits and returns its exit status and output. A
// program that exceeds the limit is stopped and has status 124.
struct ToolResult {
  int Status = 0;
  std::string Output;
};
ToolResult runTool(const std::vector<std::string> &Command,
                   const std::string &OutputFile,
                   std::chrono::milliseconds Limit);

} // namespace magnolia::bench

#endif
