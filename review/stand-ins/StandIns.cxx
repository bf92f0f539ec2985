#include "StandIns.h"

#include <algorithm>
#include <cerrno>
#include <csignal>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <random>
#include <sstream>
#include <utility>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

namespace {

const Clock::time_point kStart = Clock::now();
FILE* s_record = nullptr;
std::mutex s_recordMutex;
constexpr long kBeatMs = 1200;
constexpr long kBeatTimeoutMs = 1000;

std::string
Lower(std::string aText)
{
  std::transform(
    aText.begin(), aText.end(), aText.begin(), [](unsigned char c) {
      return static_cast<char>(std::tolower(c));
    });
  return aText;
}

sockaddr_in
MakeAddress(const std::string& aIp, int aPort)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(aPort));
  inet_pton(AF_INET, aIp.c_str(), &address.sin_addr);
  return address;
}

int
Listen(const std::string& aIp, int aPort)
{
  const int listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  const sockaddr_in address = MakeAddress(aIp, aPort);
  if (bind(listener,
           reinterpret_cast<const sockaddr*>(&address),
           sizeof(address)) != 0 ||
      listen(listener, 512) != 0) {
    close(listener);
    return -1;
  }
  return listener;
}

int
PortOf(int aSocket)
{
  sockaddr_in address{};
  socklen_t size = sizeof(address);
  getsockname(aSocket, reinterpret_cast<sockaddr*>(&address), &size);
  return ntohs(address.sin_port);
}

long
LeftMs(Clock::time_point aUntil)
{
  return std::max<long>(
    0,
    std::chrono::duration_cast<std::chrono::milliseconds>(aUntil - Clock::now())
      .count());
}

} // namespace

long
NowMs()
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() -
                                                               kStart)
    .count();
}

void
SleepMs(long aMs)
{
  std::this_thread::sleep_for(std::chrono::milliseconds(aMs));
}

void
SleepUntilMs(long aAtMs)
{
  SleepMs(std::max<long>(0, aAtMs - NowMs()));
}

void
Record::Open(const std::string& aPath)
{
  s_record = std::fopen(aPath.c_str(), "w");
}

void
Record::Line(const char* aFormat, ...)
{
  const std::lock_guard<std::mutex> lock(s_recordMutex);
  if (s_record == nullptr) {
    return;
  }
  std::fprintf(s_record, "%8.3f s  ", static_cast<double>(NowMs()) / 1000);
  va_list arguments;
  va_start(arguments, aFormat);
  std::vfprintf(s_record, aFormat, arguments);
  va_end(arguments);
  std::fputc('\n', s_record);
  std::fflush(s_record);
}

void
Finish(int aCode, const std::string& aWhy)
{
  Record::Line("end: %s (exit %d)", aWhy.c_str(), aCode);
  std::printf("%s (exit %d)\n", aWhy.c_str(), aCode);
  std::fflush(stdout);
  Fleet& fleet = TheFleet();
  for (auto* machines : { &fleet.m_entries, &fleet.m_controls }) {
    for (auto& machine : *machines) {
      machine->Kill();
    }
  }
  std::error_code ignored;
  if (std::getenv("KEEP") == nullptr) {
    std::filesystem::remove_all(fleet.m_folder, ignored);
  } else {
    std::printf("kept: %s\n", fleet.m_folder.c_str());
    std::fflush(stdout);
  }
  std::_Exit(aCode);
}

bool
HasTrouble()
{
  const char* trouble = std::getenv("TROUBLE");
  return trouble == nullptr || std::string(trouble) != "0";
}

// Connection -----------------------------------------------------------------

Connection::~Connection()
{
  if (m_socket >= 0) {
    close(m_socket);
  }
}

std::unique_ptr<Connection>
Connection::To(const std::string& aIp, int aPort, long aTimeoutMs)
{
  const int made =
    socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  const sockaddr_in address = MakeAddress(aIp, aPort);
  if (connect(made,
              reinterpret_cast<const sockaddr*>(&address),
              sizeof(address)) != 0 &&
      errno != EINPROGRESS) {
    close(made);
    return nullptr;
  }
  pollfd waiting{ made, POLLOUT, 0 };
  int error = 0;
  socklen_t size = sizeof(error);
  if (poll(&waiting, 1, static_cast<int>(aTimeoutMs)) != 1 ||
      getsockopt(made, SOL_SOCKET, SO_ERROR, &error, &size) != 0 ||
      error != 0) {
    close(made);
    return nullptr;
  }
  fcntl(made, F_SETFL, fcntl(made, F_GETFL) & ~O_NONBLOCK);
  const int on = 1;
  setsockopt(made, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  return std::make_unique<Connection>(made);
}

bool
Connection::Send(const std::string& aBytes) const
{
  std::size_t done = 0;
  while (done < aBytes.size()) {
    const ssize_t sent =
      send(m_socket, aBytes.data() + done, aBytes.size() - done, MSG_NOSIGNAL);
    if (sent <= 0) {
      return false;
    }
    done += static_cast<std::size_t>(sent);
  }
  return true;
}

bool
Connection::ReadMore(Clock::time_point aUntil)
{
  pollfd waiting{ m_socket, POLLIN, 0 };
  if (poll(&waiting, 1, static_cast<int>(LeftMs(aUntil))) != 1) {
    return false;
  }
  char bytes[16384];
  const ssize_t got = recv(m_socket, bytes, sizeof(bytes), 0);
  if (got <= 0) {
    m_isEnded = got == 0;
    return false;
  }
  m_buffer.append(bytes, static_cast<std::size_t>(got));
  return true;
}

bool
Connection::ReadMessage(Message& aMessage, bool aIsAnswer, long aTimeoutMs)
{
  const auto until = Clock::now() + std::chrono::milliseconds(aTimeoutMs);
  std::size_t end = 0;
  while ((end = m_buffer.find("\r\n\r\n")) == std::string::npos) {
    if (!ReadMore(until)) {
      return false;
    }
  }
  std::istringstream head(m_buffer.substr(0, end));
  m_buffer.erase(0, end + 4);
  std::string line;
  std::getline(head, line);
  aMessage = {};
  aMessage.m_start = line.substr(0, line.find('\r'));
  while (std::getline(head, line)) {
    line = line.substr(0, line.find('\r'));
    const auto colon = line.find(':');
    if (colon != std::string::npos) {
      const auto first = line.find_first_not_of(' ', colon + 1);
      aMessage.m_headers[Lower(line.substr(0, colon))] =
        first == std::string::npos ? "" : line.substr(first);
    }
  }
  if (aIsAnswer) {
    aMessage.m_status =
      std::atoi(aMessage.m_start.c_str() + std::strlen("HTTP/1.1 "));
  }
  const auto length = aMessage.m_headers.find("content-length");
  const auto coding = aMessage.m_headers.find("transfer-encoding");
  if (coding != aMessage.m_headers.end()) {
    for (;;) {
      std::size_t eol = 0;
      while ((eol = m_buffer.find("\r\n")) == std::string::npos) {
        if (!ReadMore(until)) {
          return true;
        }
      }
      const std::size_t size = std::strtoul(m_buffer.c_str(), nullptr, 16);
      while (m_buffer.size() < eol + 2 + size + 2) {
        if (!ReadMore(until)) {
          return true;
        }
      }
      aMessage.m_body += m_buffer.substr(eol + 2, size);
      m_buffer.erase(0, eol + 2 + size + 2);
      if (size == 0) {
        aMessage.m_isWhole = true;
        return true;
      }
    }
  }
  if (length != aMessage.m_headers.end()) {
    const std::size_t size = std::strtoul(length->second.c_str(), nullptr, 10);
    while (m_buffer.size() < size) {
      if (!ReadMore(until)) {
        aMessage.m_body = m_buffer;
        return true;
      }
    }
    aMessage.m_body = m_buffer.substr(0, size);
    m_buffer.erase(0, size);
    aMessage.m_isWhole = true;
    return true;
  }
  if (aIsAnswer) {
    while (ReadMore(until)) {
    }
    aMessage.m_body = std::exchange(m_buffer, {});
    aMessage.m_isWhole = m_isEnded;
    return true;
  }
  aMessage.m_isWhole = true;
  return true;
}

bool
Connection::IsClosed() const
{
  char byte = 0;
  const ssize_t got = recv(m_socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return got == 0 || (got < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

void
Connection::Reset()
{
  const linger now{ 1, 0 };
  setsockopt(m_socket, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
  close(m_socket);
  m_socket = -1;
}

// Server ---------------------------------------------------------------------

Server::Server(const std::string& aIp, int aPort, Serve aServe)
  : m_socket(Listen(aIp, aPort))
  , m_serve(std::move(aServe))
{
  if (m_socket < 0) {
    Finish(2, "a stand-in cannot listen on " + aIp);
  }
  m_port = PortOf(m_socket);
  m_thread = std::thread([this] { Run(); });
}

Server::~Server()
{
  Stop();
}

void
Server::Run()
{
  while (!m_isStopped) {
    pollfd waiting{ m_socket, POLLIN, 0 };
    if (poll(&waiting, 1, 50) != 1) {
      continue;
    }
    const int made = accept4(m_socket, nullptr, nullptr, SOCK_CLOEXEC);
    if (made < 0) {
      continue;
    }
    const int on = 1;
    setsockopt(made, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    {
      const std::lock_guard<std::mutex> lock(m_mutex);
      m_open.push_back(made);
    }
    std::thread([this, made] {
      {
        Connection connection(made);
        m_serve(connection);
        const std::lock_guard<std::mutex> lock(m_mutex);
        std::erase(m_open, made);
      }
    }).detach();
  }
}

void
Server::Stop()
{
  if (m_isStopped.exchange(true)) {
    return;
  }
  m_thread.join();
  close(m_socket);
  const std::lock_guard<std::mutex> lock(m_mutex);
  for (const int open : m_open) {
    const linger now{ 1, 0 };
    setsockopt(open, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
    // The serving thread closes the descriptor.
    shutdown(open, SHUT_RDWR);
  }
}

std::optional<Message>
Call(const std::string& aIp,
     int aPort,
     const std::string& aMethod,
     const std::string& aPath,
     const std::string& aBody,
     long aTimeoutMs,
     const Headers& aHeaders)
{
  const auto connection = Connection::To(aIp, aPort, aTimeoutMs);
  if (!connection) {
    return std::nullopt;
  }
  std::string request = aMethod + " " + aPath + " HTTP/1.1\r\n";
  if (aHeaders.find("Host") == aHeaders.end()) {
    request += "Host: " + aIp + ":" + std::to_string(aPort) + "\r\n";
  }
  for (const auto& [name, value] : aHeaders) {
    request += name + ": " + value + "\r\n";
  }
  if (!aBody.empty()) {
    request += "Content-Type: application/json\r\nContent-Length: " +
               std::to_string(aBody.size()) + "\r\n";
  }
  request += "\r\n" + aBody;
  Message answer;
  if (!connection->Send(request) ||
      !connection->ReadMessage(answer, true, aTimeoutMs)) {
    return std::nullopt;
  }
  return answer;
}

// Machines -------------------------------------------------------------------

Fleet&
TheFleet()
{
  static Fleet fleet;
  return fleet;
}

Machine::Machine(std::string aName, std::string aRole, std::string aIp)
  : m_name(std::move(aName))
  , m_role(std::move(aRole))
  , m_ip(std::move(aIp))
  , m_folder(TheFleet().m_folder + "/" + m_name)
  , m_data(m_folder + "/data")
{
  std::filesystem::create_directories(m_role == "control" ? m_data : m_folder);
}

void
Machine::WriteSettings(bool aIsFirstStart) const
{
  const Fleet& fleet = TheFleet();
  const auto at = [this](int aPort) {
    return m_ip + ":" + std::to_string(aPort);
  };
  const bool isControl = m_role == "control";
  std::string seeds;
  for (const auto& control : fleet.m_controls) {
    seeds += (seeds.empty() ? "" : ",") + control->Ip() + ":" +
             std::to_string(fleet.m_callPort);
  }
  std::ofstream file(m_folder + "/settings.env");
  file << "PARSLEYCOVE_VM=" << m_name << "\n"
       << "PARSLEYCOVE_ZONE=zone-a\n"
       << "PARSLEYCOVE_LISTEN=" << at(fleet.m_callPort) << "\n"
       << "PARSLEYCOVE_READINESS_LISTEN="
       << (isControl ? "" : at(fleet.m_readinessPort)) << "\n"
       << "PARSLEYCOVE_SEEDS=" << seeds << "\n"
       << "PARSLEYCOVE_PEER_PORT=" << fleet.m_peerPort << "\n"
       << "PARSLEYCOVE_METRICS_LISTEN=" << at(fleet.m_metricsPort) << "\n"
       << "PARSLEYCOVE_TAKEOVER_LISTEN=" << at(fleet.m_peerPort) << "\n";
  if (isControl) {
    file << "PARSLEYCOVE_DATA_FOLDER=" << m_data << "\n"
         << "PARSLEYCOVE_CONTROL_LISTEN=" << at(fleet.m_peerPort) << "\n"
         << "PARSLEYCOVE_FIRST_START=" << (aIsFirstStart ? "true" : "false")
         << "\n";
  }
  file << "PARSLEYCOVE_TOLERATED_LOSSES=" << fleet.m_toleratedLosses << "\n"
       << "PARSLEYCOVE_REVOCATION_LIMIT_MS=5000\n"
       << "PARSLEYCOVE_ENDPOINT_LEASE_MS=6000\n"
       << "PARSLEYCOVE_RETRY_RATIO=0.2\n"
       << "PARSLEYCOVE_RETRY_SLACK=198\n"
       << "PARSLEYCOVE_RETRY_WINDOW_MS=10s\n"
       << "PARSLEYCOVE_STOP_GRACE_MS=8s\n"
       << "PARSLEYCOVE_LOG_FILE=-\n";
}

void
Machine::Start(bool aIsFirstStart)
{
  WriteSettings(aIsFirstStart);
  const std::string variable = "PARSLEYCOVE_BOOT=" + m_folder + "/settings.env";
  const std::string program = "target/Source/Daemon/parsleycoved";
  const char* path = std::getenv("PATH");
  const std::string pathVariable =
    std::string("PATH=") + (path != nullptr ? path : "/usr/bin:/bin");
  // A pipe, since a full disk of the machine must not stop its log.
  int log[2];
  if (pipe2(log, O_CLOEXEC) != 0) {
    Finish(2, "no pipe");
  }
  const pid_t parent = getpid();
  const pid_t pid = fork();
  if (pid == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (getppid() != parent) {
      _exit(127);
    }
    signal(SIGXFSZ, SIG_IGN);
    if (m_isDiskFull) {
      rlimit limit{};
      getrlimit(RLIMIT_FSIZE, &limit);
      limit.rlim_cur = 0;
      setrlimit(RLIMIT_FSIZE, &limit);
    }
    dup2(log[1], STDOUT_FILENO);
    dup2(log[1], STDERR_FILENO);
    const char* arguments[] = {
      program.c_str(), "--role", m_role.c_str(), nullptr
    };
    const char* variables[] = {
      variable.c_str(), pathVariable.c_str(), "LANG=C", nullptr
    };
    execve(program.c_str(),
           const_cast<char* const*>(arguments),
           const_cast<char* const*>(variables));
    _exit(127);
  }
  close(log[1]);
  std::thread([from = log[0],
               name = m_folder + "/log",
               isStalled = m_isLogStalled] {
    FILE* file = std::fopen(name.c_str(), "a");
    char bytes[4096];
    ssize_t got = 0;
    while ((got = read(from, bytes, sizeof(bytes))) > 0) {
      std::fwrite(bytes, 1, static_cast<std::size_t>(got), file);
      std::fflush(file);
      while (*isStalled) {
        SleepMs(20);
      }
    }
    std::fclose(file);
    close(from);
  }).detach();
  if (pid < 0) {
    Finish(2, "cannot start a process");
  }
  m_pid = pid;
  Record::Line("%s starts (process %d)%s",
               m_name.c_str(),
               m_pid,
               m_isDiskFull ? " with a full disk" : "");
}

void
Machine::Signal(int aSignal) const
{
  if (m_pid != 0) {
    Record::Line("%s gets signal %d", m_name.c_str(), aSignal);
    kill(m_pid, aSignal);
  }
}

void
Machine::Kill()
{
  if (m_pid != 0) {
    kill(m_pid, SIGKILL);
    waitpid(m_pid, nullptr, 0);
    m_pid = 0;
  }
}

int
Machine::PollExit()
{
  int status = 0;
  if (m_pid != 0 && waitpid(m_pid, &status, WNOHANG) == m_pid) {
    m_pid = 0;
    return status;
  }
  return -1;
}

void
Machine::SetDiskFull(bool aIsFull)
{
  m_isDiskFull = aIsFull;
  if (m_pid == 0) {
    return;
  }
  rlimit limit{};
  prlimit(m_pid, RLIMIT_FSIZE, nullptr, &limit);
  limit.rlim_cur = aIsFull ? 0 : limit.rlim_max;
  prlimit(m_pid, RLIMIT_FSIZE, &limit, nullptr);
}

void
StartFleet(int aControls, int aEntries)
{
  signal(SIGPIPE, SIG_IGN);
  // Ends after two minutes whatever happens.
  std::thread([] {
    SleepMs(115'000);
    Finish(2, "the case took too long");
  }).detach();
  Fleet& fleet = TheFleet();
  char folder[] = "/tmp/review-XXXXXX";
  if (mkdtemp(folder) == nullptr) {
    Finish(2, "no temporary folder");
  }
  fleet.m_folder = folder;
  fleet.m_network = "127." + std::to_string(100 + getpid() % 100) + ".";
  for (int i = 0; i < aControls; ++i) {
    fleet.m_controls.push_back(std::make_unique<Machine>(
      "control-" + std::to_string(i + 1),
      "control",
      fleet.m_network + "1." + std::to_string(i + 1)));
  }
  for (int i = 0; i < aEntries; ++i) {
    fleet.m_entries.push_back(std::make_unique<Machine>(
      "entry-" + std::to_string(i + 1),
      "entry",
      fleet.m_network + "2." + std::to_string(i + 1)));
  }
  // Ports that are free on all addresses of the loopback network.
  std::vector<int> held;
  for (int* port : { &fleet.m_callPort,
                     &fleet.m_readinessPort,
                     &fleet.m_peerPort,
                     &fleet.m_metricsPort }) {
    const int holder = Listen("0.0.0.0", 0);
    if (holder < 0) {
      Finish(2, "no free port");
    }
    held.push_back(holder);
    *port = PortOf(holder);
  }
  for (const int holder : held) {
    close(holder);
  }
  for (auto* machines : { &fleet.m_controls, &fleet.m_entries }) {
    for (auto& machine : *machines) {
      machine->Start(true);
    }
  }
}

bool
PutConfig(const std::string& aDocument, long aTimeoutMs)
{
  const Fleet& fleet = TheFleet();
  const long until = NowMs() + aTimeoutMs;
  for (std::size_t turn = 0; NowMs() < until; ++turn) {
    const Machine& control = *fleet.m_controls[turn % fleet.m_controls.size()];
    const auto answer = Call(control.Ip(),
                             fleet.m_callPort,
                             "PUT",
                             "/parsleycove/config",
                             aDocument,
                             1000);
    if (answer && answer->m_status == 200) {
      Record::Line("the operator's configuration is acknowledged by %s",
                   control.Name().c_str());
      return true;
    }
    if (answer && answer->m_status == 400) {
      Record::Line("the operator's configuration is refused by %s: %s",
                   control.Name().c_str(),
                   answer->m_body.c_str());
      return false;
    }
    SleepMs(200);
  }
  return false;
}

long
ReadConfigVersion(const Machine& aControl)
{
  const auto answer = Call(aControl.Ip(),
                           TheFleet().m_callPort,
                           "GET",
                           "/parsleycove/config",
                           "",
                           1000);
  if (!answer || answer->m_status != 200) {
    return 0;
  }
  const auto place = answer->m_body.find("\"version\":");
  return place == std::string::npos ? 0
                                    : std::atol(answer->m_body.c_str() + place +
                                                std::strlen("\"version\":"));
}

bool
WaitUntilReady(long aTimeoutMs)
{
  const Fleet& fleet = TheFleet();
  const long until = NowMs() + aTimeoutMs;
  for (const auto& entry : fleet.m_entries) {
    for (;;) {
      const auto answer = Call(entry->Ip(),
                               fleet.m_readinessPort,
                               "GET",
                               "/parsleycove/ready",
                               "",
                               500);
      if (answer && answer->m_status == 200) {
        break;
      }
      if (NowMs() > until) {
        return false;
      }
      SleepMs(100);
    }
  }
  return true;
}

// Plain servers --------------------------------------------------------------

PlainServer::PlainServer(std::string aId, std::string aIp, std::string aService)
  : m_id(std::move(aId))
  , m_ip(std::move(aIp))
  , m_service(std::move(aService))
  , m_born(std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
             .count())
  , m_server(std::make_unique<Server>(m_ip, 0, [this](Connection& aConnection) {
    Serve(aConnection);
  }))
{
}

std::string
PlainServer::Address() const
{
  return m_ip + ":" + std::to_string(m_server->Port());
}

std::string
PlainServer::MakeHeartbeat(const std::string& aState)
{
  const int sequence = ++m_sequence;
  std::ostringstream body;
  body << R"({"service":")" << m_service << R"(","address":")" << Address()
       << R"(","zone":"zone-a","version":"v1","slots":)" << m_slots
       << R"(,"state":")" << aState << R"(","cold-remaining-ms":0,"sequence":)"
       << sequence << R"(,"born":)" << m_born
       << (m_moreFields ? m_moreFields() : "") << "}";
  return body.str();
}

std::string
PlainServer::Announce(const std::string& aBody, long aMachines)
{
  const Fleet& fleet = TheFleet();
  const std::size_t most = aMachines > 0 ? static_cast<std::size_t>(aMachines)
                                         : fleet.m_controls.size();
  for (std::size_t i = 0; i < most; ++i) {
    const Machine& control = *fleet.m_controls[i % fleet.m_controls.size()];
    const auto answer = Call(control.Ip(),
                             fleet.m_callPort,
                             "PUT",
                             "/parsleycove/instances/" + m_id,
                             aBody,
                             kBeatTimeoutMs);
    if (answer && answer->m_status / 100 == 2) {
      return control.Name();
    }
  }
  return {};
}

void
PlainServer::KeepAnnouncing()
{
  m_isBeating = true;
  std::thread([this] {
    while (m_isBeating) {
      Announce(MakeHeartbeat(m_isLeaving ? "draining" : "ready"));
      for (long waited = 0; waited < kBeatMs && m_isBeating; waited += 20) {
        SleepMs(20);
      }
    }
  }).detach();
}

void
PlainServer::Stop()
{
  m_isBeating = false;
  m_server->Stop();
}

void
PlainServer::Serve(Connection& aConnection)
{
  Message request;
  while (aConnection.ReadMessage(request, false, 30'000)) {
    if (request.m_start.find(" /health ") != std::string::npos) {
      aConnection.Send(
        MakeAnswer(request, 200, "Instance-Id: " + m_id + "\r\n", "ok"));
      continue;
    }
    const auto expected = request.m_headers.find("expect-instance");
    if (expected != request.m_headers.end() && expected->second != m_id) {
      aConnection.Send(MakeAnswer(request, 421, "Not-Executed: 1\r\n", ""));
      continue;
    }
    m_onRequest(aConnection, request);
  }
}

std::string
MakeAnswer(const Message& aRequest,
           int aStatus,
           const std::string& aHeaders,
           const std::string& aBody)
{
  std::string answer = "HTTP/1.1 " + std::to_string(aStatus) + " Any\r\n";
  const auto attempt = aRequest.m_headers.find("attempt-id");
  if (attempt != aRequest.m_headers.end()) {
    answer += "Attempt-Id: " + attempt->second + "\r\n";
  }
  answer += aHeaders;
  answer +=
    "Content-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
  return answer;
}

} // namespace review
