/// \file
/// \brief Implementation of child processes.

#include "process/child_process.h"

#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <stdexcept>

namespace yuccamoor {

ChildProcess::ChildProcess(const std::string& program,
                           const std::vector<std::string>& arguments,
                           const std::string& log_file) {
  std::vector<char*> argv;
  argv.push_back(const_cast<char*>(program.c_str()));
  for (const std::string& argument : arguments) {
    argv.push_back(const_cast<char*>(argument.c_str()));
  }
  argv.push_back(nullptr);
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  constexpr int kLogMode = 0644;
  posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log_file.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, kLogMode);
  posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
  const int error = posix_spawn(&m_pid, program.c_str(), &actions, nullptr,
                                argv.data(), environ);
  posix_spawn_file_actions_destroy(&actions);
  if (error != 0) throw std::runtime_error("cannot start " + program);
}

ChildProcess::~ChildProcess() { Kill(); }

void ChildProcess::Signal(int signal) const {
  if (!m_reaped) ::kill(m_pid, signal);
}

void ChildProcess::Kill() {
  Signal(SIGKILL);
  Reap(0);
}

std::optional<int> ChildProcess::Wait() {
  Reap(0);
  return m_status;
}

bool ChildProcess::Running() {
  Reap(WNOHANG);
  return !m_reaped;
}

void ChildProcess::Reap(int options) {
  if (m_reaped) return;
  int status = 0;
  if (::waitpid(m_pid, &status, options) != m_pid) return;
  m_reaped = true;
  if (WIFEXITED(status)) m_status = WEXITSTATUS(status);
}

}  // namespace yuccamoor
