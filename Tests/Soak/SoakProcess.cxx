// One real process under test, started and ended by its id alone.
#include "Soak/SoakProcess.h"

#include <csignal>
#include <cstdlib>
#include <iostream>
#include <utility>

#include <fcntl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace parsleycove {

SoakProcess::SoakProcess(std::string aProgram,
                         std::vector<std::string> aSettings,
                         std::string aLogFile)
  : m_program(std::move(aProgram))
  , m_settings(std::move(aSettings))
  , m_logFile(std::move(aLogFile))
{
}

SoakProcess::~SoakProcess()
{
  Kill();
}

void
SoakProcess::Start()
{
  std::vector<char*> settings;
  for (std::string& setting : m_settings) {
    settings.push_back(setting.data());
  }
  settings.push_back(nullptr);
  std::string program = m_program;
  std::vector<char*> arguments{ program.data(), nullptr };
  const int log =
    open(m_logFile.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
  const pid_t pid = fork();
  if (pid == 0) {
    dup2(log, STDOUT_FILENO);
    dup2(log, STDERR_FILENO);
    // A connection of the soak that a child kept open would not end.
    closefrom(STDERR_FILENO + 1);
    execve(m_program.c_str(), arguments.data(), settings.data());
    _exit(127);
  }
  close(log);
  if (log < 0 || pid < 0) {
    std::cerr << "soak: cannot start " << m_program << "\n";
    std::abort();
  }
  m_pid = pid;
}

void
SoakProcess::Kill()
{
  if (m_pid != 0) {
    kill(m_pid, SIGKILL);
    waitpid(m_pid, nullptr, 0);
    m_pid = 0;
  }
}

void
SoakProcess::Signal(int aSignal) const
{
  if (m_pid != 0) {
    kill(m_pid, aSignal);
  }
}

bool
SoakProcess::IsRunning()
{
  if (m_pid != 0 && waitpid(m_pid, nullptr, WNOHANG) == m_pid) {
    m_pid = 0;
  }
  return m_pid != 0;
}

} // namespace parsleycove
