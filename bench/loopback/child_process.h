#ifndef LOOPBACK_CHILD_PROCESS_H
#define LOOPBACK_CHILD_PROCESS_H

#include <chrono>
#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace magnolia::bench {

// Process that this run started. It is stopped by its id and reaped when the
// object goes.
class ChildProcess {
public:
  // Starts the program; its output goes to the file. Throws
  // std::runtime_error where it can't be started.
  ChildProcess(const std::vector<std::string> &Command,
               const std::string &OutputFile);
  ~ChildProcess();

  ChildProcess(ChildProcess &&Other) noexcept;
  ChildProcess &operator=(ChildProcess &&) = delete;
  ChildProcess(const ChildProcess &) = delete;
  ChildProcess &operator=(const ChildProcess &) = delete;

  // Sends the signal unless the process has been reaped.
  void signal(int Number) const;

  // Exit status within the limit; 128 + signal after a signal, none where it
  // still runs.
  std::optional<int> wait(std::chrono::milliseconds Limit);

  // SIGTERM, then SIGKILL after the grace.
  void stop(std::chrono::milliseconds Grace);

  // Processor time so far; 0 where the process has gone.
  [[nodiscard]] std::chrono::nanoseconds processorTime() const;

  [[nodiscard]] pid_t id() const { return Pid; }

private:
  pid_t Pid = -1;
  std::optional<int> Status;
};

// Runs a program to its end and returns its exit status and output. A program
// that is over the limit is stopped and has status 124.
struct ToolResult {
  int Status = 0;
  std::string Output;
};
ToolResult runTool(const std::vector<std::string> &Command,
                   const std::string &OutputFile,
                   std::chrono::milliseconds Limit);

} // namespace magnolia::bench

#endif
