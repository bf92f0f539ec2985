// Small deployment on loopback addresses for the scripts of this review: the
// project's own processes with the commands of the deploy file, and stand-ins
// of the platform, the operator, clients and runners of a plain service.
#pragma once

#include <arpa/inet.h>
#include <cerrno>
#include <csignal>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
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
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;

inline double
Now()
{
  static const auto kStart = Clock::now();
  return std::chrono::duration<double>(Clock::now() - kStart).count();
}

inline void
Sleep(double aSeconds)
{
  if (aSeconds > 0) {
    std::this_thread::sleep_for(std::chrono::duration<double>(aSeconds));
  }
}

inline bool
HasTrouble()
{
  const char* text = std::getenv("TROUBLE");
  return text == nullptr || std::string(text) != "0";
}

// Exit codes of a case.
constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kCannotRun = 2;

// The record of a run: record.txt in the case's folder.
class Record
{
public:
  static Record& Get()
  {
    static Record record;
    return record;
  }
  void Open(const std::string& aPath) { m_file.open(aPath); }
  void Line(const char* aFormat, ...) __attribute__((format(printf, 2, 3)))
  {
    char text[2048];
    va_list arguments;
    va_start(arguments, aFormat);
    std::vsnprintf(text, sizeof text, aFormat, arguments);
    va_end(arguments);
    char time[32];
    std::snprintf(time, sizeof time, "%8.3f ", Now());
    const std::lock_guard lock(m_mutex);
    m_file << time << text << std::endl;
  }

private:
  std::mutex m_mutex;
  std::ofstream m_file;
};

template<typename... Args>
void
Note(const char* aFormat, Args... aArgs)
{
  if constexpr (sizeof...(aArgs) == 0) {
    Record::Get().Line("%s", aFormat);
  } else {
    Record::Get().Line(aFormat, aArgs...);
  }
}

// Sockets -------------------------------------------------------------------

struct Address
{
  std::string m_ip;
  int m_port = 0;
  std::string Text() const { return m_ip + ":" + std::to_string(m_port); }
};

inline sockaddr_in
ToSockaddr(const Address& aAddress)
{
  sockaddr_in result{};
  result.sin_family = AF_INET;
  result.sin_port = htons(static_cast<std::uint16_t>(aAddress.m_port));
  inet_pton(AF_INET, aAddress.m_ip.c_str(), &result.sin_addr);
  return result;
}

// Returns -1 if no connection was established in time.
inline int
Connect(const Address& aTo, double aTimeoutS)
{
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0) {
    return -1;
  }
  const sockaddr_in address = ToSockaddr(aTo);
  if (connect(
        fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
    pollfd ready{ fd, POLLOUT, 0 };
    int error = 0;
    socklen_t size = sizeof error;
    if (errno != EINPROGRESS ||
        poll(&ready, 1, static_cast<int>(aTimeoutS * 1000)) != 1 ||
        getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0 ||
        error != 0) {
      close(fd);
      return -1;
    }
  }
  const int one = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  return fd;
}

inline int
Listen(const Address& aAt)
{
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int one = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  const sockaddr_in address = ToSockaddr(aAt);
  if (bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) !=
        0 ||
      listen(fd, 1024) != 0) {
    close(fd);
    return -1;
  }
  return fd;
}

inline bool
SendAll(int aFd, std::string_view aBytes, double aTimeoutS)
{
  const double until = Now() + aTimeoutS;
  while (!aBytes.empty()) {
    const ssize_t sent =
      send(aFd, aBytes.data(), aBytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
    if (sent > 0) {
      aBytes.remove_prefix(static_cast<std::size_t>(sent));
    } else if (sent < 0 && (errno == EAGAIN || errno == EINTR)) {
      const double left = until - Now();
      pollfd ready{ aFd, POLLOUT, 0 };
      if (left <= 0 || poll(&ready, 1, static_cast<int>(left * 1000) + 1) < 0) {
        return false;
      }
    } else {
      return false;
    }
  }
  return true;
}

// Reads more bytes. Returns 1, 0 at the end of the connection, -1 on an error
// and -2 when the time is over.
inline int
ReadMore(int aFd, std::string& aBuffer, double aUntil)
{
  char bytes[65536];
  for (;;) {
    const ssize_t got = recv(aFd, bytes, sizeof bytes, MSG_DONTWAIT);
    if (got > 0) {
      aBuffer.append(bytes, static_cast<std::size_t>(got));
      return 1;
    }
    if (got == 0) {
      return 0;
    }
    if (errno != EAGAIN && errno != EINTR) {
      return -1;
    }
    const double left = aUntil - Now();
    if (left <= 0) {
      return -2;
    }
    pollfd ready{ aFd, POLLIN, 0 };
    poll(&ready, 1, static_cast<int>(left * 1000) + 1);
  }
}

// HTTP ----------------------------------------------------------------------

struct Message
{
  std::string m_first;
  std::map<std::string, std::string> m_fields; // names in lower case
  std::string m_body;
  std::string Field(const std::string& aName) const
  {
    const auto found = m_fields.find(aName);
    return found == m_fields.end() ? std::string() : found->second;
  }
};

inline std::string
Lower(std::string aText)
{
  std::transform(
    aText.begin(), aText.end(), aText.begin(), [](unsigned char c) {
      return static_cast<char>(std::tolower(c));
    });
  return aText;
}

// Reads one message with a length or in chunks. Returns false with aWhy if it
// did not arrive whole.
inline bool
ReadMessage(int aFd,
            std::string& aBuffer,
            double aUntil,
            Message& aMessage,
            std::string& aWhy)
{
  const auto more = [&] {
    const int got = ReadMore(aFd, aBuffer, aUntil);
    aWhy = got == 0 ? "closed" : got == -1 ? "reset" : "no bytes in time";
    return got == 1;
  };
  std::size_t end = 0;
  while ((end = aBuffer.find("\r\n\r\n")) == std::string::npos) {
    if (!more()) {
      return false;
    }
  }
  std::istringstream head(aBuffer.substr(0, end));
  aBuffer.erase(0, end + 4);
  std::string line;
  std::getline(head, line);
  aMessage = {};
  aMessage.m_first = line.substr(0, line.find('\r'));
  while (std::getline(head, line)) {
    line = line.substr(0, line.find('\r'));
    const auto colon = line.find(':');
    if (colon != std::string::npos) {
      auto value = line.substr(colon + 1);
      value.erase(0, value.find_first_not_of(' '));
      aMessage.m_fields[Lower(line.substr(0, colon))] = value;
    }
  }
  if (Lower(aMessage.Field("transfer-encoding")) == "chunked") {
    for (;;) {
      std::size_t eol = 0;
      while ((eol = aBuffer.find("\r\n")) == std::string::npos) {
        if (!more()) {
          return false;
        }
      }
      const std::size_t size = std::strtoul(aBuffer.c_str(), nullptr, 16);
      while (aBuffer.size() < eol + 2 + size + 2) {
        if (!more()) {
          return false;
        }
      }
      aMessage.m_body += aBuffer.substr(eol + 2, size);
      aBuffer.erase(0, eol + 2 + size + 2);
      if (size == 0) {
        return true;
      }
    }
  }
  const std::size_t length =
    std::strtoul(aMessage.Field("content-length").c_str(), nullptr, 10);
  while (aBuffer.size() < length) {
    if (!more()) {
      return false;
    }
  }
  aMessage.m_body = aBuffer.substr(0, length);
  aBuffer.erase(0, length);
  return true;
}

struct Answer
{
  int m_status = 0; // 0: no whole answer
  Message m_message;
  std::string m_why;
};

using Fields = std::vector<std::pair<std::string, std::string>>;

inline std::string
FormatRequest(const std::string& aMethod,
              const std::string& aPath,
              const Fields& aFields,
              const std::string& aBody)
{
  std::string out = aMethod + " " + aPath + " HTTP/1.1\r\n";
  for (const auto& [name, value] : aFields) {
    out += name + ": " + value + "\r\n";
  }
  if (!aBody.empty() || aMethod != "GET") {
    out += "Content-Length: " + std::to_string(aBody.size()) + "\r\n";
  }
  return out + "\r\n" + aBody;
}

// Sends a request on a connection and reads the answer.
inline Answer
Exchange(int aFd, const std::string& aRequest, double aTimeoutS)
{
  Answer answer;
  const double until = Now() + aTimeoutS;
  if (!SendAll(aFd, aRequest, aTimeoutS)) {
    answer.m_why = "cannot send";
    return answer;
  }
  std::string buffer;
  if (ReadMessage(aFd, buffer, until, answer.m_message, answer.m_why)) {
    answer.m_status = std::atoi(answer.m_message.m_first.c_str() + 9);
  }
  return answer;
}

// The same on a new connection, which is closed afterwards.
inline Answer
Call(const Address& aTo,
     const std::string& aMethod,
     const std::string& aPath,
     Fields aFields,
     const std::string& aBody,
     double aTimeoutS)
{
  const double until = Now() + aTimeoutS;
  const int fd = Connect(aTo, aTimeoutS);
  if (fd < 0) {
    Answer answer;
    answer.m_why = "cannot connect";
    return answer;
  }
  bool hasHost = false;
  for (const auto& field : aFields) {
    hasHost = hasHost || field.first == "Host";
  }
  if (!hasHost) {
    aFields.insert(aFields.begin(), { "Host", aTo.Text() });
  }
  Answer answer =
    Exchange(fd, FormatRequest(aMethod, aPath, aFields, aBody), until - Now());
  close(fd);
  return answer;
}

// Settings and processes ----------------------------------------------------

using Values = std::map<std::string, std::string>;

// Renders a template as the platform's pages say: values and sections.
inline std::string
Render(std::string aText, const Values& aValues)
{
  const auto valueOf = [&](const std::string& aName) {
    const auto found = aValues.find(aName);
    return found == aValues.end() ? std::string() : found->second;
  };
  for (std::size_t at = 0; (at = aText.find("{{#")) != std::string::npos;) {
    const auto stop = aText.find("}}", at);
    const std::string name = aText.substr(at + 3, stop - at - 3);
    const std::string close = "{{/" + name + "}}";
    const auto end = aText.find(close, stop);
    std::string inner = aText.substr(stop + 2, end - stop - 2);
    const std::string value = valueOf(name);
    for (std::size_t dot = 0;
         (dot = inner.find("{{.}}")) != std::string::npos;) {
      inner.replace(dot, 5, value);
    }
    aText.replace(
      at, end + close.size() - at, value.empty() ? std::string() : inner);
  }
  for (std::size_t at = 0; (at = aText.find("{{")) != std::string::npos;) {
    const auto stop = aText.find("}}", at);
    aText.replace(
      at, stop + 2 - at, valueOf(aText.substr(at + 2, stop - at - 2)));
  }
  return aText;
}

inline std::string
ReadFile(const std::string& aPath)
{
  std::ifstream file(aPath, std::ios::binary);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

inline void
WriteFile(const std::string& aPath, const std::string& aText)
{
  std::ofstream(aPath, std::ios::binary) << aText;
}

// Returns the value of NAME = "value" in a section of the deploy file of a
// checkout.
inline std::string
FindInDeploy(const std::string& aRoot,
             const std::string& aSection,
             const std::string& aName)
{
  std::istringstream text(ReadFile(aRoot + "/deploy/system.toml"));
  std::string section;
  for (std::string line; std::getline(text, line);) {
    if (!line.empty() && line.front() == '[') {
      section = line.substr(1, line.find(']') - 1);
    }
    if (section == aSection && line.rfind(aName + " = \"", 0) == 0) {
      const auto first = line.find('"') + 1;
      return line.substr(first, line.rfind('"') - first);
    }
  }
  return {};
}

// One process of the project on a machine of its own.
class Process
{
public:
  Process(std::string aRole, Values aValues, std::string aFolder)
    : m_role(std::move(aRole))
    , m_values(std::move(aValues))
    , m_folder(std::move(aFolder))
  {
  }
  ~Process() { Kill(SIGKILL); }
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  const std::string& Name() const { return m_values.at("node-name"); }
  Values& Settings() { return m_values; }

  // The checkout whose build runs from the next start on.
  void SetRoot(std::string aRoot) { m_root = std::move(aRoot); }

  void WriteSettings()
  {
    const std::string settings =
      m_root + "/" + FindInDeploy(m_root, "roles." + m_role, "template");
    WriteFile(m_folder + "/" + Name() + ".settings",
              Render(ReadFile(settings), m_values));
  }

  void Start()
  {
    WriteSettings();
    std::vector<std::string> words;
    std::istringstream run(FindInDeploy(m_root, "roles." + m_role, "run"));
    for (std::string word; run >> word;) {
      words.push_back(word);
    }
    std::vector<char*> arguments;
    for (std::string& word : words) {
      arguments.push_back(word.data());
    }
    arguments.push_back(nullptr);
    std::string boot =
      "PARSLEYCOVE_BOOT=" + m_folder + "/" + Name() + ".settings";
    std::string path = "PATH=/usr/bin:/bin";
    std::string home = "HOME=" + m_folder;
    char* environment[] = { boot.data(), path.data(), home.data(), nullptr };
    const std::string log = m_folder + "/" + Name() + ".log";
    const pid_t parent = getpid();
    m_hasEnded = false;
    m_pid = fork();
    if (m_pid == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      if (getppid() != parent) {
        _exit(127);
      }
      const int out = open(log.c_str(), O_CREAT | O_WRONLY | O_APPEND, 0644);
      dup2(out, 1);
      dup2(out, 2);
      if (chdir(m_root.c_str()) != 0) {
        _exit(127);
      }
      execve(arguments[0], arguments.data(), environment);
      _exit(127);
    }
  }

  // Sends SIGTERM, and SIGKILL after the grace. Returns false if it was needed.
  bool Stop(double aGraceS)
  {
    Signal(SIGTERM);
    const double until = Now() + aGraceS;
    while (IsRunning() && Now() < until) {
      Sleep(0.02);
    }
    const bool isDone = !IsRunning();
    Kill(SIGKILL);
    return isDone;
  }

  // Returns true while the process runs; Status() says how it ended.
  bool IsRunning()
  {
    if (m_pid > 0 && !m_hasEnded &&
        waitpid(m_pid, &m_status, WNOHANG) == m_pid) {
      m_hasEnded = true;
    }
    return m_pid > 0 && !m_hasEnded;
  }
  std::string Status()
  {
    if (IsRunning()) {
      return "running";
    }
    return WIFSIGNALED(m_status)
             ? "signal " + std::to_string(WTERMSIG(m_status))
             : "exit " + std::to_string(WEXITSTATUS(m_status));
  }
  void Signal(int aSignal)
  {
    if (IsRunning()) {
      kill(m_pid, aSignal);
    }
  }
  void Kill(int aSignal)
  {
    if (IsRunning()) {
      kill(m_pid, aSignal);
      waitpid(m_pid, &m_status, 0);
      m_hasEnded = true;
    }
  }
  pid_t Id() const { return m_pid; }

  // Resident memory in MB (10^6 bytes); 0 if unknown.
  double MemoryMb(const char* aField = "VmRSS:")
  {
    std::ifstream status("/proc/" + std::to_string(m_pid) + "/status");
    for (std::string word; status >> word;) {
      if (word == aField) {
        double kib = 0;
        status >> kib;
        return kib * 1024 / 1e6;
      }
    }
    return 0;
  }

private:
  const std::string m_role;
  Values m_values;
  const std::string m_folder;
  std::string m_root = ".";
  pid_t m_pid = 0;
  int m_status = 0;
  bool m_hasEnded = false;
};

struct FleetOptions
{
  int m_controls = 5;
  int m_entries = 2;
};

// Bounds and limits of the small site kiosk-assist.
inline Values
SiteValues()
{
  return {
    { "fault-tolerance.machines", "2" },    { "bounds.revoke-ms", "5000" },
    { "bounds.retry-budget-ratio", "0.2" }, { "bounds.budget-slack", "202" },
    { "bounds.budget-window-s", "10" },     { "bounds.grace-s", "8" }
  };
}
constexpr double kControlMemoryMb = 256;

class Fleet
{
public:
  explicit Fleet(FleetOptions aOptions)
    : m_options(aOptions)
  {
    char name[] = "/tmp/review-XXXXXX";
    m_folder = mkdtemp(name);
    ChoosePorts();
    std::string seeds;
    for (int i = 0; i < std::min(aOptions.m_controls, 3); ++i) {
      seeds += (i == 0 ? "" : ",") + Control(i).Text();
    }
    for (int i = 0; i < aOptions.m_controls; ++i) {
      Values values = SiteValues();
      const std::string data = m_folder + "/data-" + std::to_string(i);
      mkdir(data.c_str(), 0755);
      values["node-name"] = "core-" + std::to_string(i);
      values["zone"] = Zone(i);
      values["ip"] = Control(i).m_ip;
      values["listen.control"] = Control(i).Text();
      values["seeds"] = seeds;
      values["internal-ports.0"] = std::to_string(m_port + 2);
      values["internal-ports.1"] = std::to_string(m_port + 3);
      values["data-dir"] = data;
      values["bootstrap"] = "true";
      m_controls.push_back(
        std::make_unique<Process>("control", values, m_folder));
    }
    for (int i = 0; i < aOptions.m_entries; ++i) {
      Values values = SiteValues();
      values["node-name"] = "front-" + std::to_string(i);
      values["zone"] = Zone(i);
      values["ip"] = Entry(i).m_ip;
      values["listen.front"] = Entry(i).Text();
      values["listen.readiness-address"] = Readiness(i).Text();
      values["seeds"] = seeds;
      values["internal-ports.0"] = std::to_string(m_port + 2);
      values["internal-ports.1"] = std::to_string(m_port + 3);
      m_entries.push_back(std::make_unique<Process>("entry", values, m_folder));
    }
  }
  ~Fleet()
  {
    m_entries.clear();
    m_controls.clear();
    if (std::getenv("KEEP") == nullptr) {
      const std::string command = "rm -rf '" + m_folder + "'";
      if (std::system(command.c_str()) != 0) {
        std::perror("rm");
      }
    }
  }

  static std::string Zone(int aIndex)
  {
    return std::string("zone-") + static_cast<char>('a' + aIndex % 3);
  }
  Address Control(int aIndex) const
  {
    return { m_net + ".1." + std::to_string(aIndex + 1), m_port };
  }
  Address Entry(int aIndex) const
  {
    return { m_net + ".2." + std::to_string(aIndex + 1), m_port };
  }
  Address Readiness(int aIndex) const
  {
    return { m_net + ".2." + std::to_string(aIndex + 1), m_port + 1 };
  }
  Address Runner(int aIndex) const
  {
    return { m_net + ".3." + std::to_string(aIndex + 1), m_port };
  }
  Process& ControlProcess(int aIndex) { return *m_controls[aIndex]; }
  Process& EntryProcess(int aIndex) { return *m_entries[aIndex]; }
  int Controls() const { return m_options.m_controls; }
  int Entries() const { return m_options.m_entries; }
  const std::string& Folder() const { return m_folder; }

  void StartAll()
  {
    for (auto& process : m_controls) {
      process->Start();
      // The whole system starts for the first time only once.
      process->Settings()["bootstrap"] = "false";
    }
    for (auto& process : m_entries) {
      process->Start();
    }
  }

  bool IsReady(int aEntry)
  {
    return Call(Readiness(aEntry), "GET", "/parsleycove/ready", {}, "", 1)
             .m_status == 200;
  }

  bool WaitReady(double aTimeoutS)
  {
    const double until = Now() + aTimeoutS;
    for (int i = 0; i < m_options.m_entries;) {
      if (IsReady(i)) {
        ++i;
      } else if (Now() > until) {
        return false;
      } else {
        Sleep(0.1);
      }
    }
    return true;
  }

  // Sends a configuration as the operator does: again, to the next node, after
  // a failure, a 5xx or no answer in time. Returns the status that ended it, or
  // 0 when aTimeoutS is over.
  int PutConfig(const std::string& aBody, double aTimeoutS, double aCallS = 1)
  {
    const double until = Now() + aTimeoutS;
    double pause = 0.05;
    while (Now() < until) {
      const int node = m_nextControl++ % m_options.m_controls;
      const Answer answer = Call(Control(node),
                                 "PUT",
                                 "/parsleycove/config",
                                 { { "Content-Type", "application/json" } },
                                 aBody,
                                 aCallS);
      if (answer.m_status >= 200 && answer.m_status < 500 &&
          answer.m_status != 408 && answer.m_status != 429) {
        return answer.m_status;
      }
      Sleep(pause);
      pause = std::min(pause * 1.5, 0.5);
    }
    return 0;
  }

  Answer GetConfig(int aControl, double aTimeoutS = 1)
  {
    return Call(
      Control(aControl), "GET", "/parsleycove/config", {}, "", aTimeoutS);
  }

private:
  void ChoosePorts()
  {
    srand(static_cast<unsigned>(getpid()) ^
          static_cast<unsigned>(time(nullptr)));
    for (int tries = 0; tries < 100; ++tries) {
      m_net = "127." + std::to_string(20 + rand() % 80);
      m_port = 20000 + rand() % 10000;
      bool isFree = true;
      for (const char* part : { ".1.1", ".2.1", ".3.1" }) {
        for (int i = 0; i < 4 && isFree; ++i) {
          const int fd = Listen({ m_net + part, m_port + i });
          isFree = fd >= 0;
          close(fd);
        }
      }
      if (isFree) {
        return;
      }
    }
  }

  const FleetOptions m_options;
  std::string m_folder;
  std::string m_net;
  int m_port = 0;
  std::vector<std::unique_ptr<Process>> m_controls;
  std::vector<std::unique_ptr<Process>> m_entries;
  std::atomic<unsigned> m_nextControl{ 0 };
};

// A runner of a plain service: registers, answers requests and records what it
// ran. Behaves as the pages say unless a case replaces its answer.
class Runner
{
public:
  // Returns the bytes of the answer; an empty text closes the connection.
  using Handler = std::function<std::string(const Message&)>;

  Runner(Fleet& aFleet, int aIndex, std::string aService)
    : m_fleet(aFleet)
    , m_index(aIndex)
    , m_address(aFleet.Runner(aIndex))
    , m_id("i-" + std::to_string(aIndex) + "-" + aService)
    , m_service(std::move(aService))
    , m_born(static_cast<long long>(time(nullptr)) * 1000)
  {
    m_handler = [this](const Message& aRequest) { return Sound(aRequest); };
  }
  ~Runner() { Stop(); }

  const std::string& Id() const { return m_id; }
  const Address& At() const { return m_address; }
  void SetHandler(Handler aHandler) { m_handler = std::move(aHandler); }

  bool Start()
  {
    m_listener = Listen(m_address);
    if (m_listener < 0) {
      return false;
    }
    m_threads.emplace_back([this] { Accept(); });
    m_threads.emplace_back([this] { Announce(); });
    return true;
  }

  void Stop()
  {
    if (m_stop.exchange(true)) {
      return;
    }
    if (m_listener >= 0) {
      shutdown(m_listener, SHUT_RDWR);
    }
    for (auto& thread : m_threads) {
      thread.join();
    }
    if (m_listener >= 0) {
      close(m_listener);
    }
    while (m_open > 0) {
      Sleep(0.01);
    }
  }

  // How often the runner began to run the request of an Attempt-Id.
  int Runs(const std::string& aAttemptId)
  {
    const std::lock_guard lock(m_mutex);
    return m_runs[aAttemptId];
  }
  std::size_t CountRuns()
  {
    const std::lock_guard lock(m_mutex);
    return m_total;
  }

  // Records the run and returns a sound answer.
  std::string Sound(const Message& aRequest, std::string aBody = {})
  {
    const std::string id = aRequest.Field("attempt-id");
    if (aRequest.m_first.find(" /health ") != std::string::npos) {
      return "HTTP/1.1 200 OK\r\nInstance-Id: " + m_id +
             "\r\nContent-Length: 0\r\n\r\n";
    }
    const std::string expected = aRequest.Field("expect-instance");
    if (!expected.empty() && expected != m_id) {
      return "HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: " + id +
             "\r\nContent-Length: 0\r\n\r\n";
    }
    RecordRun(aRequest);
    if (aBody.empty()) {
      aBody = "answer to " + id + "\n";
    }
    return "HTTP/1.1 200 OK\r\nAttempt-Id: " + id +
           "\r\nResponse-Signature: s." + id + "\r\nInstance-Load: 1,0,6" +
           "\r\nContent-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" +
           aBody;
  }

  void RecordRun(const Message& aRequest)
  {
    const std::lock_guard lock(m_mutex);
    ++m_runs[aRequest.Field("attempt-id")];
    ++m_total;
  }

private:
  void Accept()
  {
    while (!m_stop) {
      const int fd = accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) {
        Sleep(0.01);
        continue;
      }
      ++m_open;
      std::thread([this, fd] {
        Serve(fd);
        close(fd);
        --m_open;
      }).detach();
    }
  }

  void Serve(int aFd)
  {
    const int one = 1;
    setsockopt(aFd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
    std::string buffer;
    while (!m_stop) {
      Message request;
      std::string why;
      // Waits in slices, so that Stop() ends the thread.
      if (buffer.empty()) {
        const int got = ReadMore(aFd, buffer, Now() + 0.2);
        if (got == -2) {
          continue;
        }
        if (got != 1) {
          return;
        }
      }
      if (!ReadMessage(aFd, buffer, Now() + 5, request, why)) {
        return;
      }
      const std::string answer = m_handler(request);
      if (answer.empty() || !SendAll(aFd, answer, 5)) {
        return;
      }
    }
  }

  void Announce()
  {
    for (int sequence = 1; !m_stop; ++sequence) {
      const std::string body =
        "{\"service\":\"" + m_service + "\",\"address\":\"" + m_address.Text() +
        "\",\"zone\":\"" + Fleet::Zone(m_index) +
        "\",\"version\":\"v1\",\"slots\":6,\"state\":\"ready\"," +
        "\"cold-remaining-ms\":0,\"sequence\":" + std::to_string(sequence) +
        ",\"born\":" + std::to_string(m_born) + "}";
      for (int i = 0; i < m_fleet.Controls() && !m_stop; ++i) {
        const Answer answer =
          Call(m_fleet.Control((m_index + i) % m_fleet.Controls()),
               "PUT",
               "/parsleycove/instances/" + m_id,
               { { "Content-Type", "application/json" } },
               body,
               1);
        if (answer.m_status >= 200 && answer.m_status < 300) {
          break;
        }
      }
      for (int i = 0; i < 12 && !m_stop; ++i) {
        Sleep(0.1);
      }
    }
  }

  Fleet& m_fleet;
  const int m_index;
  const Address m_address;
  const std::string m_id;
  const std::string m_service;
  const long long m_born;
  Handler m_handler;
  int m_listener = -1;
  std::atomic<bool> m_stop{ false };
  std::atomic<int> m_open{ 0 };
  std::vector<std::thread> m_threads;
  std::mutex m_mutex;
  std::map<std::string, int> m_runs;
  std::size_t m_total = 0;
};

// A configuration with the routes /safe/ and /unsafe/ of the service "plain",
// the key k1 of account-1, and aMoreRoutes further routes.
inline std::string
MakeConfig(int aVersion, int aMoreRoutes, int aTimeoutMs = 800)
{
  std::string text =
    "{\"version\":" + std::to_string(aVersion) + ",\"routes\":[";
  const std::string timeout = std::to_string(aTimeoutMs);
  const auto route = [&](const std::string& aName,
                         const std::string& aPrefix,
                         const char* aKind) {
    return "{\"name\":\"" + aName +
           "\",\"host\":\"ficu95.example\",\"path-prefix\":\"" + aPrefix +
           "\",\"kind\":\"" + aKind + "\",\"timeout-ms\":" + timeout +
           ",\"target-latency-ms\":100,\"priority\":2,\"traffic-split\":[{"
           "\"service\":\"plain\",\"weight\":100}],\"max-attempts\":2,"
           "\"allow-anonymous\":false,\"session-affinity\":false,"
           "\"resumable\":false,\"target-gap-ms\":200}";
  };
  text += route("r-safe", "/safe/", "safe") + "," +
          route("r-unsafe", "/unsafe/", "unsafe");
  for (int i = 0; i < aMoreRoutes; ++i) {
    text += "," + route("r-more" + std::to_string(i),
                        "/more" + std::to_string(i) + "/",
                        "safe");
  }
  return text +
         "],\"services\":[{\"name\":\"plain\",\"health-path\":\"/health\","
         "\"max-connections\":52,\"protocol\":\"h1\",\"tls\":false}],"
         "\"limits\":{\"max-header-bytes\":16384,\"max-body-bytes\":4194304,"
         "\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000},"
         "\"tenants\":[{\"name\":\"account-1\",\"api-keys\":[\"k1\"],"
         "\"priority\":1}]}";
}

inline Fields
ClientFields(const std::string& aAttemptId, int aDeadlineMs = 1500)
{
  return { { "Host", "ficu95.example" },
           { "Attempt-Id", aAttemptId },
           { "Deadline-Ms", std::to_string(aDeadlineMs) },
           { "Authorization", "Bearer k1" } };
}

} // namespace review
