#include "child_process.h"

#include <csignal>
#include <ctime>
#include <fcntl.h>
#include <fstream>
#include <iterator>
#include <spawn.h>
#include <stdexcept>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <utility>

namespace magnolia::bench {

namespace {

constexpr auto CheckPause = std::chrono::milliseconds(5);

} // namespace

ChildProcess::ChildProcess(const std::vector<std::string> &Command,
                           const std::string &OutputFile) {
  std::vector<char *> Arguments;
  Arguments.reserve(Command.size() + 1);
  for (const auto &Word : Command) {
    Arguments.push_back(const_cast<char *>(Word.c_str()));
  }
  Arguments.push_back(nullptr);
  posix_spawn_file_actions_t Files;
  posix_spawn_file_actions_init(&Files);
  posix_spawn_file_actions_addopen(&Files, STDIN_FILENO, "/dev/null", O_RDONLY,
                                   0);
  posix_spawn_file_actions_addopen(&Files, STDOUT_FILENO, OutputFile.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, 0644);
  posix_spawn_file_actions_adddup2(&Files, STDOUT_FILENO, STDERR_FILENO);
  // In its own process group, the child does not receive a Ctrl-C from the
  // terminal, so the run can stop its processes in order.
  posix_spawnattr_t Attributes;
  posix_spawnattr_init(&Attributes);
  posix_spawnattr_setflags(&Attributes, POSIX_SPAWN_SETPGROUP);
  const int Failed = posix_spawn(&Pid, Arguments[0], &Files, &Attributes,
                                 Arguments.data(), environ);
  posix_spawnattr_destroy(&Attributes);
  posix_spawn_file_actions_destroy(&Files);
  if (Failed != 0) {
    Pid = -1;
    throw std::runtime_error("cannot start " + Command[0]);
  }
}

ChildProcess::ChildProcess(ChildProcess &&Other) noexcept
    : Pid(std::exchange(Other.Pid, -1)), Status(Other.Status) {}

ChildProcess::~ChildProcess() { stop(std::chrono::seconds(2)); }

void ChildProcess::signal(int Number) const {
  if (Pid > 0 && !Status) {
    kill(Pid, Number);
  }
}

std::optional<int> ChildProcess::wait(std::chrono::milliseconds Limit) {
  const auto Until = std::chrono::steady_clock::now() + Limit;
  while (Pid > 0 && !Status) {
    int Raw = 0;
    if (waitpid(Pid, &Raw, WNOHANG) == Pid) {
      Status = WIFEXITED(Raw) ? WEXITSTATUS(Raw) : 128 + WTERMSIG(Raw);
    } else if (std::chrono::steady_clock::now() >= Until) {
      return std::nullopt;
    } else {
      std::this_thread::sleep_for(CheckPause);
    }
  }
  return Status;
}

void ChildProcess::stop(std::chrono::milliseconds Grace) {
  if (Pid <= 0 || Status) {
    return;
  }
  // A process suspended by SIGSTOP handles SIGTERM only after SIGCONT.
  signal(SIGTERM);
  signal(SIGCONT);
  if (!wait(Grace)) {
    signal(SIGKILL);
    wait(std::chrono::seconds(5));
  }
}

std::chrono::nanoseconds ChildProcess::processorTime() const {
  clockid_t Id{};
  timespec Time{};
  if (Pid <= 0 || Status || clock_getcpuclockid(Pid, &Id) != 0 ||
      clock_gettime(Id, &Time) != 0) {
    return {};
  }
  return std::chrono::seconds(Time.tv_sec) +
         std::chrono::nanoseconds(Time.tv_nsec);
}

ToolResult runTool(const std::vector<std::string> &Command,
                   const std::string &OutputFile,
                   std::chrono::milliseconds Limit) {
  unlink(OutputFile.c_str());
  ChildProcess Tool(Command, OutputFile);
  const auto Status = Tool.wait(Limit);
  Tool.stop(std::chrono::seconds(1));
  std::ifstream File(OutputFile);
  return {.Status = Status.value_or(124),
          .Output = std::string(std::istreambuf_iterator<char>(File), {})};
}

} // namespace magnolia::bench
