// Stand-ins for the cases of this review: machines that run the project's own
// programs, servers, clients and the operator, over loopback and the real
// clock.
#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include <sys/types.h>

namespace review {

using Clock = std::chrono::steady_clock;
using Headers = std::map<std::string, std::string>; // names in lower case

// Milliseconds since the start of the case.
long
NowMs();
void
SleepMs(long aMs);
void
SleepUntilMs(long aAtMs);

// Writes lines with their time to record.txt of the case's folder.
class Record
{
public:
  static void Open(const std::string& aPath);
  static void Line(const char* aFormat, ...)
    __attribute__((format(printf, 1, 2)));
};

// Ends the case with this code: 0 the rule held, 1 it was broken, 2 the case
// could not run. Ends all processes first.
[[noreturn]] void
Finish(int aCode, const std::string& aWhy);

// True unless TROUBLE=0 is set.
bool
HasTrouble();

struct Message
{
  std::string m_start; // request line or status line
  Headers m_headers;
  std::string m_body;
  int m_status = 0;
  // The answer was complete.
  bool m_isWhole = false;
};

// A connection with its own read buffer. All calls return false on an end, an
// error or a time-out.
class Connection
{
public:
  explicit Connection(int aSocket = -1)
    : m_socket(aSocket)
  {
  }
  ~Connection();
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  static std::unique_ptr<Connection> To(const std::string& aIp,
                                        int aPort,
                                        long aTimeoutMs);
  bool Send(const std::string& aBytes) const;
  bool ReadMessage(Message& aMessage, bool aIsAnswer, long aTimeoutMs);
  // Returns true if the other side has closed.
  bool IsClosed() const;
  void Reset();
  int Socket() const { return m_socket; }

private:
  bool ReadMore(Clock::time_point aUntil);

  int m_socket;
  std::string m_buffer;
  bool m_isEnded = false;
};

// A listening server; aServe runs in a thread for each connection.
class Server
{
public:
  using Serve = std::function<void(Connection&)>;
  Server(const std::string& aIp, int aPort, Serve aServe);
  ~Server();
  int Port() const { return m_port; }
  // Stops listening and resets all connections, as the end of a process does.
  void Stop();

private:
  void Run();

  int m_socket = -1;
  int m_port = 0;
  Serve m_serve;
  std::atomic<bool> m_isStopped{ false };
  std::mutex m_mutex;
  std::vector<int> m_open;
  std::thread m_thread;
};

// Sends one call on a new connection and returns its answer.
std::optional<Message>
Call(const std::string& aIp,
     int aPort,
     const std::string& aMethod,
     const std::string& aPath,
     const std::string& aBody,
     long aTimeoutMs,
     const Headers& aHeaders = {});

// A machine with one process of the project, started with the command of the
// deploy file and a settings file rendered from its template.
class Machine
{
public:
  Machine(std::string aName, std::string aRole, std::string aIp);

  const std::string& Name() const { return m_name; }
  const std::string& Ip() const { return m_ip; }
  const std::string& DataFolder() const { return m_data; }
  pid_t Pid() const { return m_pid; }
  void Start(bool aIsFirstStart);
  void Signal(int aSignal) const;
  // Kills the process and waits for its end.
  void Kill();
  // Returns the exit status as waitpid() gives it, or -1 while it runs.
  int PollExit();
  // The disk takes no more bytes: writes to files fail in the processes that
  // are started from now on, and in the running one.
  void SetDiskFull(bool aIsFull);
  // Whoever reads the process's log stops, or goes on.
  void StallLog(bool aIsStalled) { *m_isLogStalled = aIsStalled; }

private:
  void WriteSettings(bool aIsFirstStart) const;

  std::string m_name;
  std::string m_role;
  std::string m_ip;
  std::string m_folder;
  std::string m_data;
  pid_t m_pid = 0;
  bool m_isDiskFull = false;
  std::shared_ptr<std::atomic<bool>> m_isLogStalled =
    std::make_shared<std::atomic<bool>>(false);
};

// Ports that all machines share, and the folder of the case.
struct Fleet
{
  std::string m_folder;  // temporary
  std::string m_network; // "127.x."
  int m_callPort = 0;
  int m_readinessPort = 0;
  int m_peerPort = 0;
  int m_metricsPort = 0;
  int m_toleratedLosses = 1;
  std::vector<std::unique_ptr<Machine>> m_controls;
  std::vector<std::unique_ptr<Machine>> m_entries;
};
Fleet&
TheFleet();

// Chooses free ports and starts the processes for the first time.
void
StartFleet(int aControls, int aEntries);

// Sends the configuration until it is acknowledged or the time is over.
bool
PutConfig(const std::string& aDocument, long aTimeoutMs);
// Returns the version that a control machine shows, or 0 without a clear
// answer.
long
ReadConfigVersion(const Machine& aControl);
// Waits until all entry machines say that they are ready.
bool
WaitUntilReady(long aTimeoutMs);

// A server of a plain service.
class PlainServer
{
public:
  PlainServer(std::string aId, std::string aIp, std::string aService);

  std::string Address() const;
  int Port() const { return m_server->Port(); }
  const std::string& Id() const { return m_id; }

  // Body of a heartbeat; each call takes the next sequence number.
  std::string MakeHeartbeat(const std::string& aState);
  // Sends a heartbeat to one control machine after the other, each for a second
  // at most. Returns the name of the machine that acknowledged it, or "".
  std::string Announce(const std::string& aBody, long aMachines = 0);
  // Sends heartbeats in the background until PauseBeats() or Stop().
  void KeepAnnouncing();
  void PauseBeats() { m_isBeating = false; }
  // The process ends: its connections are reset.
  void Stop();

  // Decides what happens with one request. Runs in the connection's thread.
  std::function<void(Connection&, const Message&)> m_onRequest;
  std::atomic<bool> m_isLeaving{ false };
  // Slots of the service; what a heartbeat tells.
  int m_slots = 16;
  // Returns further fields of a heartbeat, each with a comma before it.
  std::function<std::string()> m_moreFields;
  long Born() const { return m_born; }

private:
  void Serve(Connection& aConnection);

  const std::string m_id;
  const std::string m_ip;
  const std::string m_service;
  const long m_born;
  std::atomic<int> m_sequence{ 0 };
  std::atomic<bool> m_isBeating{ false };
  std::unique_ptr<Server> m_server;
};

std::string
MakeAnswer(const Message& aRequest,
           int aStatus,
           const std::string& aHeaders,
           const std::string& aBody);

} // namespace review
