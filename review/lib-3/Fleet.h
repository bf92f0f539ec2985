// A small deployment on loopback addresses: starts the project's programs with
// the commands of the deploy file, and has a stand-in of the operator, of
// clients and of a plain service that follow the users' pages.
#pragma once

#include <algorithm>
#include <array>
#include <atomic>
#include <chrono>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

using Clock = std::chrono::steady_clock;
using Ms = std::chrono::milliseconds;

inline void
Sleep(int aMs)
{
  std::this_thread::sleep_for(Ms(aMs));
}

// Lines of record.txt, with the milliseconds since the start.
class Record
{
public:
  static Record& Get()
  {
    static Record record;
    return record;
  }
  void Open(const std::string& aPath) { m_file.open(aPath); }
  void Say(const char* aFormat, ...) __attribute__((format(printf, 2, 3)))
  {
    std::array<char, 2048> text{};
    va_list values;
    va_start(values, aFormat);
    vsnprintf(text.data(), text.size(), aFormat, values);
    va_end(values);
    const std::lock_guard<std::mutex> lock(m_mutex);
    const auto ms =
      std::chrono::duration_cast<Ms>(Clock::now() - m_start).count();
    m_file << ms << " ms  " << text.data() << "\n";
    m_file.flush();
  }

private:
  std::mutex m_mutex;
  std::ofstream m_file;
  const Clock::time_point m_start = Clock::now();
};

#define SAY(...) ::review::Record::Get().Say(__VA_ARGS__)

struct Address
{
  std::string m_ip;
  int m_port = 0;
  std::string Text() const { return m_ip + ":" + std::to_string(m_port); }
};

inline sockaddr_in
SocketAddressOf(const Address& aAddress)
{
  sockaddr_in result{};
  result.sin_family = AF_INET;
  result.sin_port = htons(static_cast<std::uint16_t>(aAddress.m_port));
  inet_pton(AF_INET, aAddress.m_ip.c_str(), &result.sin_addr);
  return result;
}

// Returns a connected socket or -1.
inline int
Connect(const Address& aAddress, int aTimeoutMs)
{
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0) {
    return -1;
  }
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  const sockaddr_in to = SocketAddressOf(aAddress);
  if (connect(fd, reinterpret_cast<const sockaddr*>(&to), sizeof(to)) != 0) {
    pollfd wait{ fd, POLLOUT, 0 };
    int error = 0;
    socklen_t size = sizeof(error);
    if (errno != EINPROGRESS || poll(&wait, 1, aTimeoutMs) != 1 ||
        getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0 ||
        error != 0) {
      close(fd);
      return -1;
    }
  }
  return fd;
}

inline bool
SendAll(int aFd, std::string_view aBytes, int aTimeoutMs)
{
  const auto end = Clock::now() + Ms(aTimeoutMs);
  while (!aBytes.empty()) {
    const ssize_t sent =
      send(aFd, aBytes.data(), aBytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
    if (sent > 0) {
      aBytes.remove_prefix(static_cast<std::size_t>(sent));
      continue;
    }
    const auto left =
      std::chrono::duration_cast<Ms>(end - Clock::now()).count();
    pollfd wait{ aFd, POLLOUT, 0 };
    if ((sent < 0 && errno != EAGAIN) || left <= 0 ||
        poll(&wait, 1, static_cast<int>(left)) < 0) {
      return false;
    }
  }
  return true;
}

// Reads what is there, at least a byte. Returns 0 at the end, -1 after an error
// or the time.
inline ssize_t
ReadSome(int aFd, std::string& aOut, int aTimeoutMs)
{
  pollfd wait{ aFd, POLLIN, 0 };
  if (poll(&wait, 1, aTimeoutMs) != 1) {
    return -1;
  }
  std::array<char, 65536> bytes{};
  const ssize_t got = recv(aFd, bytes.data(), bytes.size(), 0);
  if (got > 0) {
    aOut.append(bytes.data(), static_cast<std::size_t>(got));
  }
  return got;
}

struct Message
{
  std::string m_first;
  std::map<std::string, std::string> m_fields; // names in lower case
  std::string m_body;
  bool m_isWhole = false;
  std::string m_fault;

  int Status() const
  {
    return m_first.size() > 9 ? std::atoi(m_first.c_str() + 9) : 0;
  }
  std::string Field(const std::string& aName) const
  {
    const auto found = m_fields.find(aName);
    return found == m_fields.end() ? "" : found->second;
  }
};

inline std::string
Lower(std::string aText)
{
  std::transform(aText.begin(), aText.end(), aText.begin(), [](char aLetter) {
    return static_cast<char>(std::tolower(static_cast<unsigned char>(aLetter)));
  });
  return aText;
}

// Reads one message with a length, chunks, or none. aLeft keeps bytes that
// follow it.
inline Message
ReadMessage(int aFd, std::string& aLeft, int aTimeoutMs, bool aIsAnswer)
{
  const auto end = Clock::now() + Ms(aTimeoutMs);
  const auto left = [&] {
    return static_cast<int>(std::max<std::int64_t>(
      std::chrono::duration_cast<Ms>(end - Clock::now()).count(), 0));
  };
  Message message;
  std::size_t head = std::string::npos;
  while ((head = aLeft.find("\r\n\r\n")) == std::string::npos) {
    const ssize_t got = ReadSome(aFd, aLeft, left());
    if (got <= 0) {
      message.m_fault = got == 0 ? "closed" : "no answer or reset";
      return message;
    }
  }
  std::istringstream lines(aLeft.substr(0, head));
  aLeft.erase(0, head + 4);
  std::string line;
  std::getline(lines, message.m_first);
  if (!message.m_first.empty() && message.m_first.back() == '\r') {
    message.m_first.pop_back();
  }
  while (std::getline(lines, line)) {
    if (!line.empty() && line.back() == '\r') {
      line.pop_back();
    }
    const auto colon = line.find(':');
    if (colon != std::string::npos) {
      auto value = line.substr(colon + 1);
      value.erase(0, value.find_first_not_of(" \t"));
      message.m_fields[Lower(line.substr(0, colon))] = value;
    }
  }
  const auto need = [&](std::size_t aBytes) {
    while (aLeft.size() < aBytes) {
      const ssize_t got = ReadSome(aFd, aLeft, left());
      if (got <= 0) {
        message.m_fault = got == 0 ? "closed early" : "late or reset";
        return false;
      }
    }
    return true;
  };
  if (Lower(message.Field("transfer-encoding")) == "chunked") {
    for (;;) {
      std::size_t eol = std::string::npos;
      while ((eol = aLeft.find("\r\n")) == std::string::npos) {
        if (!need(aLeft.size() + 1)) {
          return message;
        }
      }
      const auto size = std::strtoul(aLeft.c_str(), nullptr, 16);
      aLeft.erase(0, eol + 2);
      if (!need(size + 2)) {
        message.m_body.append(aLeft.substr(0, size));
        return message;
      }
      message.m_body.append(aLeft, 0, size);
      aLeft.erase(0, size + 2);
      if (size == 0) {
        break;
      }
    }
  } else if (message.m_fields.count("content-length") != 0) {
    const auto size =
      std::strtoul(message.Field("content-length").c_str(), nullptr, 10);
    if (!need(size)) {
      message.m_body = aLeft;
      return message;
    }
    message.m_body = aLeft.substr(0, size);
    aLeft.erase(0, size);
  } else if (aIsAnswer) {
    while (ReadSome(aFd, aLeft, left()) > 0) {
    }
    message.m_body = std::exchange(aLeft, {});
  }
  message.m_isWhole = true;
  return message;
}

inline Message
Call(const Address& aTo, const std::string& aRequest, int aTimeoutMs)
{
  const int fd = Connect(aTo, std::min(aTimeoutMs, 1000));
  if (fd < 0) {
    Message failed;
    failed.m_fault = "not connected";
    return failed;
  }
  std::string left;
  Message answer;
  if (SendAll(fd, aRequest, aTimeoutMs)) {
    answer = ReadMessage(fd, left, aTimeoutMs, true);
  } else {
    answer.m_fault = "not sent";
  }
  close(fd);
  return answer;
}

inline std::string
MakeRequest(const std::string& aMethod,
            const std::string& aPath,
            const std::string& aHost,
            const std::string& aFields,
            const std::string& aBody)
{
  return aMethod + " " + aPath + " HTTP/1.1\r\nHost: " + aHost + "\r\n" +
         aFields +
         (aBody.empty() && aMethod == "GET"
            ? std::string()
            : "Content-Length: " + std::to_string(aBody.size()) + "\r\n") +
         "\r\n" + aBody;
}

// One process that the script started.
class Process
{
public:
  Process(std::string aName,
          std::vector<std::string> aCommand,
          std::string aSettings,
          std::string aOutput,
          rlim_t aDescriptors)
    : m_name(std::move(aName))
    , m_command(std::move(aCommand))
    , m_settings(std::move(aSettings))
    , m_output(std::move(aOutput))
    , m_descriptors(aDescriptors)
  {
  }
  ~Process() { Kill(); }

  void Start()
  {
    std::vector<std::string> environment{ "PARSLEYCOVE_BOOT=" + m_settings,
                                          "LANG=C",
                                          "PATH=/usr/bin:/bin" };
    std::vector<char*> arguments;
    for (auto& word : m_command) {
      arguments.push_back(word.data());
    }
    arguments.push_back(nullptr);
    std::vector<char*> variables;
    for (auto& variable : environment) {
      variables.push_back(variable.data());
    }
    variables.push_back(nullptr);
    const int out =
      open(m_output.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
    m_pid = fork();
    if (m_pid == 0) {
      dup2(out, 1);
      dup2(out, 2);
      // As the platform: a process has so many descriptors.
      rlimit limit{};
      getrlimit(RLIMIT_NOFILE, &limit);
      limit.rlim_cur = std::min(limit.rlim_max, m_descriptors);
      setrlimit(RLIMIT_NOFILE, &limit);
      execve(arguments[0], arguments.data(), variables.data());
      _exit(127);
    }
    close(out);
    m_status = -1;
    SAY("started %s, process %d", m_name.c_str(), m_pid);
  }
  void Signal(int aSignal)
  {
    if (IsRunning()) {
      kill(m_pid, aSignal);
      SAY("sent signal %d to %s", aSignal, m_name.c_str());
    }
  }
  bool IsRunning()
  {
    if (m_pid <= 0) {
      return false;
    }
    int status = 0;
    if (waitpid(m_pid, &status, WNOHANG) == m_pid) {
      m_status = status;
      m_pid = 0;
      if (WIFSIGNALED(status)) {
        SAY("%s ended by signal %d", m_name.c_str(), WTERMSIG(status));
      } else {
        SAY("%s ended with code %d", m_name.c_str(), WEXITSTATUS(status));
      }
      return false;
    }
    return true;
  }
  bool WaitForEnd(int aTimeoutMs)
  {
    const auto end = Clock::now() + Ms(aTimeoutMs);
    while (IsRunning() && Clock::now() < end) {
      Sleep(10);
    }
    return m_pid == 0;
  }
  void Kill()
  {
    if (m_pid > 0) {
      kill(m_pid, SIGKILL);
      int status = 0;
      waitpid(m_pid, &status, 0);
      m_pid = 0;
    }
  }
  // Kilobytes of a line of /proc/PID/status, such as VmRSS.
  long Memory(const std::string& aLine) const
  {
    std::ifstream file("/proc/" + std::to_string(m_pid) + "/status");
    std::string line;
    while (std::getline(file, line)) {
      if (line.rfind(aLine + ":", 0) == 0) {
        return std::atol(line.c_str() + aLine.size() + 1);
      }
    }
    return 0;
  }
  int Pid() const { return m_pid; }
  int Status() const { return m_status; }
  const std::string& Name() const { return m_name; }

private:
  const std::string m_name;
  std::vector<std::string> m_command;
  const std::string m_settings;
  const std::string m_output;
  const rlim_t m_descriptors;
  pid_t m_pid = 0;
  int m_status = -1;
};

// Renders placeholders and simple sections of a template.
inline std::string
Render(std::string aText, const std::map<std::string, std::string>& aFields)
{
  for (std::size_t open = 0;
       (open = aText.find("{{#")) != std::string::npos;) {
    const auto close = aText.find("}}", open);
    const std::string name = aText.substr(open + 3, close - open - 3);
    const std::string mark = "{{/" + name + "}}";
    const auto end = aText.find(mark, close);
    std::string inner = aText.substr(close + 2, end - close - 2);
    const auto field = aFields.find(name);
    if (field == aFields.end() || field->second.empty()) {
      inner.clear();
    }
    for (std::size_t dot = 0; (dot = inner.find("{{.}}")) != std::string::npos;) {
      inner.replace(dot, 5, field->second);
    }
    aText.replace(open, end + mark.size() - open, inner);
  }
  for (std::size_t open = 0; (open = aText.find("{{")) != std::string::npos;) {
    const auto close = aText.find("}}", open);
    const auto field = aFields.find(aText.substr(open + 2, close - open - 2));
    aText.replace(
      open, close + 2 - open, field == aFields.end() ? "" : field->second);
  }
  return aText;
}

inline std::string
ReadFile(const std::string& aPath)
{
  std::ifstream file(aPath);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

constexpr int kFrontPort = 8227;
constexpr int kReadyPort = 8220;
constexpr int kControlPort = 8229;
constexpr int kInternalPort = 7340;

struct FleetPlan
{
  // A control machine for each of these zones.
  std::vector<std::string> m_zones;
  // The first three control machines, unless others are named.
  std::vector<std::size_t> m_seeds = { 0, 1, 2 };
  int m_fronts = 1;
  int m_losses = 1;
};

// Each machine has a loopback address of its own, as ports are the same on all
// machines.
class Fleet
{
public:
  explicit Fleet(const FleetPlan& aPlan)
  {
    char name[] = "/tmp/review-XXXXXX";
    m_folder = mkdtemp(name);
    // Another run has other addresses.
    const int net = 20 + static_cast<int>(getpid() % 200);
    m_net = net;
    m_fields = { { "bounds.revoke-ms", "5000" },
                 { "bounds.retry-budget-ratio", "0.2" },
                 { "bounds.budget-slack", "198" },
                 { "bounds.budget-window-s", "10" },
                 { "bounds.grace-s", "8" },
                 { "internal-ports.0", std::to_string(kInternalPort) },
                 { "internal-ports.1", std::to_string(kInternalPort + 15) },
                 { "fault-tolerance.machines",
                   std::to_string(aPlan.m_losses) } };
    std::string seeds;
    for (const std::size_t seed : aPlan.m_seeds) {
      seeds += (seeds.empty() ? "" : ",") +
               Address{ MachineIp(10 + static_cast<int>(seed)), kControlPort }
                 .Text();
    }
    m_fields["seeds"] = seeds;
    for (const std::string& zone : aPlan.m_zones) {
      AddControl(zone, true);
    }
    for (int i = 0; i < aPlan.m_fronts; ++i) {
      m_frontIps.push_back(MachineIp(100 + i));
      m_fronts.push_back(MakeProcess("entry", i));
      WriteSettings("entry",
                    i,
                    m_frontIps.back(),
                    aPlan.m_zones[static_cast<std::size_t>(i) %
                                  aPlan.m_zones.size()],
                    false);
    }
  }
  ~Fleet()
  {
    m_controls.clear();
    m_fronts.clear();
    if (std::getenv("KEEP") == nullptr) {
      const std::string remove = "rm -rf " + m_folder;
      if (std::system(remove.c_str()) != 0) {
        SAY("the temporary folder is left");
      }
    }
  }

  void Start()
  {
    for (auto& process : m_controls) {
      process->Start();
    }
    for (auto& process : m_fronts) {
      process->Start();
    }
  }
  // Sends a configuration until it is acknowledged. Returns false after 20 s.
  bool PutConfig(const std::string& aBody, int aVersion)
  {
    const auto end = Clock::now() + std::chrono::seconds(20);
    for (std::size_t i = 0; Clock::now() < end; ++i) {
      const Message answer = Call(
        Control(i % m_controlIps.size()),
        MakeRequest("PUT",
                    "/parsleycove/config",
                    "control",
                    "Content-Type: application/json\r\n",
                    aBody),
        1000);
      if (answer.Status() == 200) {
        SAY("configuration %d is acknowledged", aVersion);
        return true;
      }
      if (answer.Status() == 400) {
        SAY("configuration %d is refused: %s", aVersion, answer.m_body.c_str());
        return false;
      }
      Sleep(100);
    }
    return false;
  }
  bool WaitUntilReady(int aTimeoutMs)
  {
    const auto end = Clock::now() + Ms(aTimeoutMs);
    for (std::size_t i = 0; i < m_frontIps.size();) {
      const Message answer =
        Call({ m_frontIps[i], kReadyPort },
             MakeRequest("GET", "/parsleycove/ready", "ready", "", ""),
             500);
      if (answer.Status() == 200) {
        ++i;
      } else if (Clock::now() > end) {
        return false;
      } else {
        Sleep(50);
      }
    }
    return true;
  }
  // Adds a control machine with an empty disk at a new address. The process is
  // not started.
  std::size_t AddControl(const std::string& aZone, bool aIsFirstStart)
  {
    const std::size_t index = m_controlIps.size();
    m_controlIps.push_back(MachineIp(10 + static_cast<int>(index)));
    m_zones.push_back(aZone);
    m_controls.push_back(MakeProcess("control", static_cast<int>(index)));
    mkdir(DataFolder(index).c_str(), 0700);
    WriteSettings("control",
                  static_cast<int>(index),
                  m_controlIps.back(),
                  aZone,
                  aIsFirstStart);
    return index;
  }
  // The machine has lost its disk: an empty folder, and no first start.
  void EmptyDisk(std::size_t aIndex)
  {
    const std::string folder = DataFolder(aIndex);
    const std::string remove = "rm -rf " + folder;
    if (std::system(remove.c_str()) != 0) {
      SAY("the data folder is left");
    }
    mkdir(folder.c_str(), 0700);
    WriteSettings("control",
                  static_cast<int>(aIndex),
                  m_controlIps[aIndex],
                  m_zones[aIndex],
                  false);
    SAY("control-%zu has an empty disk", aIndex + 1);
  }
  Address Control(std::size_t aIndex) const
  {
    return { m_controlIps[aIndex], kControlPort };
  }
  Address Front(std::size_t aIndex) const
  {
    return { m_frontIps[aIndex], kFrontPort };
  }
  std::size_t Controls() const { return m_controlIps.size(); }
  std::vector<Address> ListControls() const
  {
    std::vector<Address> result;
    for (const std::string& ip : m_controlIps) {
      result.push_back({ ip, kControlPort });
    }
    return result;
  }
  Process& ControlProcess(std::size_t aIndex) { return *m_controls[aIndex]; }
  Process& FrontProcess(std::size_t aIndex) { return *m_fronts[aIndex]; }
  const std::string& Folder() const { return m_folder; }
  std::string SettingsPath(const std::string& aName) const
  {
    return m_folder + "/" + aName + ".env";
  }

private:
  std::string MachineIp(int aHost) const
  {
    return "127." + std::to_string(m_net) + "." +
           std::to_string(1 + getpid() / 200 % 250) + "." +
           std::to_string(aHost);
  }
  std::string DataFolder(std::size_t aIndex) const
  {
    return m_folder + "/control-" + std::to_string(aIndex + 1);
  }
  static std::string NameOf(const std::string& aRole, int aIndex)
  {
    return aRole + "-" + std::to_string(aIndex + 1);
  }
  void WriteSettings(const std::string& aRole,
                     int aIndex,
                     const std::string& aIp,
                     const std::string& aZone,
                     bool aIsFirstStart)
  {
    const std::string name = NameOf(aRole, aIndex);
    auto fields = m_fields;
    fields["node-name"] = name;
    fields["zone"] = aZone;
    fields["ip"] = aIp;
    if (aRole == "control") {
      fields["listen.control"] = Address{ aIp, kControlPort }.Text();
      fields["data-dir"] = DataFolder(static_cast<std::size_t>(aIndex));
      fields["bootstrap"] = aIsFirstStart ? "true" : "false";
    } else {
      fields["listen.front"] = Address{ aIp, kFrontPort }.Text();
      fields["listen.readiness-address"] = Address{ aIp, kReadyPort }.Text();
    }
    std::ofstream(SettingsPath(name))
      << Render(ReadFile("deploy/settings.env"), fields);
  }
  std::unique_ptr<Process> MakeProcess(const std::string& aRole, int aIndex)
  {
    const std::string name = NameOf(aRole, aIndex);
    return std::make_unique<Process>(name,
                                     FindCommand(aRole),
                                     SettingsPath(name),
                                     m_folder + "/" + name + ".log",
                                     4100);
  }
  // The words of `run` of a role in the deploy file.
  static std::vector<std::string> FindCommand(const std::string& aRole)
  {
    const std::string text = ReadFile("deploy/system.toml");
    const auto role = text.find("[roles." + aRole + "]");
    const auto run = text.find("run = \"", role) + 7;
    std::istringstream words(text.substr(run, text.find('"', run) - run));
    std::vector<std::string> command;
    for (std::string word; words >> word;) {
      command.push_back(word);
    }
    return command;
  }

  std::string m_folder;
  int m_net = 0;
  std::map<std::string, std::string> m_fields;
  std::vector<std::string> m_zones;
  std::vector<std::string> m_controlIps;
  std::vector<std::string> m_frontIps;
  std::vector<std::unique_ptr<Process>> m_controls;
  std::vector<std::unique_ptr<Process>> m_fronts;
};

enum class RunnerKind
{
  Plain,
  // Holds the layers that it is ordered to hold, of weights of version 1.
  Engine,
};

// Registers, sends heartbeats, answers health checks, reports and orders, and
// runs requests as aRun says.
class Runner
{
public:
  // Returns the bytes of the answer; "" closes the connection.
  using Run = std::function<std::string(const Message&, int aConnection)>;

  // aControls: the nodes that the runner calls, the first one first.
  Runner(std::vector<Address> aControls,
         std::string aId,
         std::string aService,
         Run aRun,
         RunnerKind aKind = RunnerKind::Plain)
    : m_controls(std::move(aControls))
    , m_id(std::move(aId))
    , m_service(std::move(aService))
    , m_run(std::move(aRun))
    , m_kind(aKind)
  {
    m_listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    m_address = { "127.0.0.1", 0 };
    sockaddr_in own = SocketAddressOf(m_address);
    socklen_t size = sizeof(own);
    bind(m_listener, reinterpret_cast<sockaddr*>(&own), size);
    getsockname(m_listener, reinterpret_cast<sockaddr*>(&own), &size);
    m_address.m_port = ntohs(own.sin_port);
    listen(m_listener, 1024);
    m_born = std::chrono::duration_cast<Ms>(
               std::chrono::system_clock::now().time_since_epoch())
               .count();
    m_threads.emplace_back([this] { Accept(); });
    m_threads.emplace_back([this] { Beat(); });
  }
  ~Runner()
  {
    m_stops = true;
    shutdown(m_listener, SHUT_RDWR);
    for (auto& thread : m_threads) {
      thread.join();
    }
    close(m_listener);
    while (m_connections > 0) {
      Sleep(10);
    }
  }
  // Heartbeats end, and nodes are told of the leave until one acknowledges it;
  // after a second without an answer the next one is called.
  bool Leave()
  {
    m_hasLeft = true;
    for (std::size_t i = 0; i < 2 * m_controls.size(); ++i) {
      const Address& node = m_controls[i % m_controls.size()];
      const Message answer =
        Call(node,
             MakeRequest(
               "DELETE", "/parsleycove/instances/" + m_id, "control", "", ""),
             1000);
      SAY("%s tells %s that it leaves: %d %s",
          m_id.c_str(),
          node.Text().c_str(),
          answer.Status(),
          answer.m_fault.c_str());
      if (answer.Status() == 200) {
        return true;
      }
    }
    return false;
  }
  bool IsRegistered() const { return m_isRegistered; }
  // Heartbeats that were acknowledged.
  int Acknowledged() const { return m_acknowledged; }
  const std::string& Id() const { return m_id; }
  int Requests() const { return m_requests; }

  static std::string MakeAnswer(const Message& aRequest,
                                const std::string& aBody,
                                const std::string& aFields = {})
  {
    return "HTTP/1.1 200 OK\r\nAttempt-Id: " + aRequest.Field("attempt-id") +
           "\r\nResponse-Signature: sound." + aRequest.Field("attempt-id") +
           "\r\n" + aFields +
           "Content-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" +
           aBody;
  }

private:
  // The fields of an engine's heartbeat and report.
  std::string Describe()
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    std::string text = R"("stage":"both","models":[{"name":"m0","version":1,)"
                       R"("adapters":[]}],"kind":"l4")";
    if (m_end > m_first) {
      text += ",\"layers\":[{\"from\":" + std::to_string(m_first) +
              ",\"target\":" + std::to_string(m_end) + ",\"version\":1}]";
    }
    return text;
  }
  static std::uint64_t NumberIn(const std::string& aText,
                                const std::string& aName)
  {
    const auto place = aText.find("\"" + aName + "\":");
    return place == std::string::npos
             ? 0
             : std::strtoull(
                 aText.c_str() + place + aName.size() + 3, nullptr, 10);
  }
  bool AnswerEngineCall(int aFd, const Message& aRequest)
  {
    const auto answer = [&](const char* aStatus, const std::string& aBody) {
      SendAll(aFd,
              std::string("HTTP/1.1 ") + aStatus +
                "\r\nContent-Type: application/json\r\nContent-Length: " +
                std::to_string(aBody.size()) + "\r\n\r\n" + aBody,
              1000);
      return true;
    };
    if (aRequest.m_first.rfind("GET /parsleycove/report ", 0) == 0) {
      return answer("200 OK",
                    "{" + Describe() +
                      ",\"busy\":false,\"sequence\":1,\"waiting\":0,"
                      "\"running\":0,\"kv-used\":0,\"kv-total\":100000,"
                      "\"handles\":0,\"pace\":1.0,\"born\":" +
                      std::to_string(m_born) + "}");
    }
    if (aRequest.m_first.rfind("POST /parsleycove/order ", 0) != 0) {
      return false;
    }
    const std::string& body = aRequest.m_body;
    if (body.find("\"place\"") == std::string::npos) {
      return answer("404 Not Found", "{}");
    }
    const std::lock_guard<std::mutex> lock(m_mutex);
    if (NumberIn(body, "fence") < m_fence) {
      return answer("412 Precondition Failed", "{}");
    }
    m_fence = NumberIn(body, "fence");
    m_first = NumberIn(body, "from");
    m_end = NumberIn(body, "target");
    return answer("202 Accepted", "{}");
  }
  void Beat()
  {
    for (int sequence = 1; !m_stops && !m_hasLeft; ++sequence) {
      const std::string body =
        "{\"service\":\"" + m_service + "\",\"address\":\"" +
        m_address.Text() +
        "\",\"zone\":\"zone-a\",\"version\":\"v1\",\"slots\":64,"
        "\"state\":\"ready\",\"cold-remaining-ms\":0,\"born\":" +
        std::to_string(m_born) + ",\"sequence\":" + std::to_string(sequence) +
        (m_kind == RunnerKind::Engine ? "," + Describe() : "") + "}";
      for (std::size_t i = 0; i < m_controls.size() && !m_stops; ++i) {
        const Message answer =
          Call(m_controls[(m_next + i) % m_controls.size()],
               MakeRequest("PUT",
                           "/parsleycove/instances/" + m_id,
                           "control",
                           "Content-Type: application/json\r\n",
                           body),
               1000);
        if (answer.Status() == 200) {
          m_isRegistered = true;
          ++m_acknowledged;
          m_next = (m_next + i) % m_controls.size();
          break;
        }
      }
      for (int i = 0; i < (m_isRegistered ? 12 : 2) && !m_stops; ++i) {
        Sleep(100);
      }
    }
  }
  void Accept()
  {
    while (!m_stops) {
      const int fd = accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) {
        continue;
      }
      ++m_connections;
      std::thread([this, fd] {
        Serve(fd);
        close(fd);
        --m_connections;
      }).detach();
    }
  }
  void Serve(int aFd)
  {
    std::string left;
    while (!m_stops) {
      pollfd wait{ aFd, POLLIN, 0 };
      if (left.empty() && poll(&wait, 1, 100) == 0) {
        continue;
      }
      const Message request = ReadMessage(aFd, left, 30000, false);
      if (!request.m_isWhole) {
        return;
      }
      if (request.m_first.rfind("GET /health ", 0) == 0) {
        SendAll(aFd,
                "HTTP/1.1 200 OK\r\nInstance-Id: " + m_id +
                  "\r\nContent-Length: 0\r\n\r\n",
                1000);
        continue;
      }
      if (m_kind == RunnerKind::Engine && AnswerEngineCall(aFd, request)) {
        continue;
      }
      const std::string version = request.Field("expect-version");
      const std::string instance = request.Field("expect-instance");
      if ((!instance.empty() && instance != m_id) ||
          (m_kind == RunnerKind::Engine && !version.empty() &&
           version != "1")) {
        SendAll(aFd,
                "HTTP/1.1 421 Misdirected\r\nNot-Executed: 1\r\nAttempt-Id: " +
                  request.Field("attempt-id") + "\r\nAt-Server: " +
                  m_address.Text() + "\r\nContent-Length: 0\r\n\r\n",
                1000);
        continue;
      }
      ++m_requests;
      const std::string answer = m_run(request, aFd);
      if (answer.empty() || !SendAll(aFd, answer, 60000)) {
        return;
      }
    }
  }

  const std::vector<Address> m_controls;
  const std::string m_id;
  const std::string m_service;
  const Run m_run;
  const RunnerKind m_kind;
  std::mutex m_mutex;
  std::uint64_t m_fence = 0;
  std::uint64_t m_first = 0;
  std::uint64_t m_end = 0;
  Address m_address;
  int m_listener = -1;
  std::int64_t m_born = 0;
  std::atomic<std::size_t> m_next{ 0 };
  std::atomic<bool> m_stops{ false };
  std::atomic<bool> m_hasLeft{ false };
  std::atomic<bool> m_isRegistered{ false };
  std::atomic<int> m_acknowledged{ 0 };
  std::atomic<int> m_connections{ 0 };
  std::atomic<int> m_requests{ 0 };
  std::vector<std::thread> m_threads;
};

// Passes connections on to one node. While it holds, nothing passes either way;
// what was sent arrives when the hold is over, also if its sender has closed
// the connection meanwhile.
class Proxy
{
public:
  explicit Proxy(Address aTo)
    : m_to(std::move(aTo))
  {
    m_listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    m_address = { "127.0.0.1", 0 };
    sockaddr_in own = SocketAddressOf(m_address);
    socklen_t size = sizeof(own);
    bind(m_listener, reinterpret_cast<sockaddr*>(&own), size);
    getsockname(m_listener, reinterpret_cast<sockaddr*>(&own), &size);
    m_address.m_port = ntohs(own.sin_port);
    listen(m_listener, 64);
    m_thread = std::thread([this] { Accept(); });
  }
  ~Proxy()
  {
    m_stops = true;
    shutdown(m_listener, SHUT_RDWR);
    m_thread.join();
    close(m_listener);
    while (m_connections > 0) {
      Sleep(10);
    }
  }
  const Address& Own() const { return m_address; }
  void Hold(bool aHolds) { m_holds = aHolds; }

private:
  void Accept()
  {
    while (!m_stops) {
      const int fd = accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd >= 0) {
        ++m_connections;
        std::thread([this, fd] {
          Relay(fd);
          --m_connections;
        }).detach();
      }
    }
  }
  void Relay(int aCaller)
  {
    const int node = Connect(m_to, 1000);
    bool isOpen = node >= 0;
    bool callerEnded = false;
    while (isOpen && !m_stops) {
      if (m_holds) {
        Sleep(5);
        continue;
      }
      std::array<pollfd, 2> wait{ pollfd{ callerEnded ? -1 : aCaller,
                                          POLLIN,
                                          0 },
                                  pollfd{ node, POLLIN, 0 } };
      if (poll(wait.data(), wait.size(), 20) <= 0 || m_holds) {
        continue;
      }
      if (wait[0].revents != 0) {
        std::string bytes;
        const ssize_t got = ReadSome(aCaller, bytes, 0);
        callerEnded = got <= 0;
        if (got > 0) {
          isOpen = SendAll(node, bytes, 1000);
        } else {
          shutdown(node, SHUT_WR);
        }
      }
      if (wait[1].revents != 0) {
        std::string bytes;
        const ssize_t got = ReadSome(node, bytes, 0);
        isOpen = got > 0;
        if (got > 0 && !callerEnded) {
          SendAll(aCaller, bytes, 1000);
        }
      }
    }
    close(aCaller);
    if (node >= 0) {
      close(node);
    }
  }

  const Address m_to;
  Address m_address;
  int m_listener = -1;
  std::atomic<bool> m_holds{ false };
  std::atomic<bool> m_stops{ false };
  std::atomic<int> m_connections{ 0 };
  std::thread m_thread;
};

inline bool
HasTrouble()
{
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

} // namespace review
