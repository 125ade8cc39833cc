/// \file
/// \brief Child processes of the process tests: started, paused, killed and
/// waited for by id.

#ifndef YUCCAMOOR_UNITTESTS_PROCESS_CHILD_PROCESS_H_
#define YUCCAMOOR_UNITTESTS_PROCESS_CHILD_PROCESS_H_

#include <sys/types.h>

#include <optional>
#include <string>
#include <vector>

namespace yuccamoor {

/// One child. Killed and reaped at the end of its scope.
class ChildProcess {
 public:
  /// Starts the program with both outputs appended to a file. Throws if it
  /// cannot be started.
  ChildProcess(const std::string& program,
               const std::vector<std::string>& arguments,
               const std::string& log_file);
  ~ChildProcess();
  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;

  /// Sends the signal if the child has not been reaped.
  void Signal(int signal) const;
  /// Kills the child and waits for its end.
  void Kill();
  /// Waits for the end. Returns the exit status, or nothing if a signal ended
  /// it.
  std::optional<int> Wait();
  /// Whether the child has not ended.
  bool Running();
  pid_t pid() const { return m_pid; }

 private:
  void Reap(int options);

  pid_t m_pid = 0;
  bool m_reaped = false;
  std::optional<int> m_status;
};

}  // namespace yuccamoor

#endif  // YUCCAMOOR_UNITTESTS_PROCESS_CHILD_PROCESS_H_
