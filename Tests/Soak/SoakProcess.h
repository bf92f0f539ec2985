// One real process under test, started and ended by its id alone.
#pragma once

#include <string>
#include <vector>

#include <sys/types.h>

namespace parsleycove {

class SoakProcess
{
public:
  // Settings as NAME=VALUE; standard output goes to aLogFile.
  SoakProcess(std::string aProgram,
              std::vector<std::string> aSettings,
              std::string aLogFile);
  // Kills it if it still runs.
  ~SoakProcess();
  SoakProcess(const SoakProcess&) = delete;
  SoakProcess& operator=(const SoakProcess&) = delete;

  void Start();
  // Returns once it has ended.
  void Kill();
  void Signal(int aSignal) const;
  // Reaps it if it has ended by itself or after a signal.
  bool IsRunning();
  // 0 unless it is running.
  pid_t Id() const { return m_pid; }
  void SetSettings(std::vector<std::string> aSettings)
  {
    m_settings = std::move(aSettings);
  }

private:
  const std::string m_program;
  std::vector<std::string> m_settings;
  const std::string m_logFile;
  // 0: not running.
  pid_t m_pid = 0;
};

} // namespace parsleycove
