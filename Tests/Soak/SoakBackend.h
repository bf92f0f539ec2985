// A back end of the soak: an engine with a part of the model's layers, or an
// endpoint of the plain service, behind a proxy that harms its connections.
#pragma once

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>

#include "Forwarding/EndpointClient.h"
#include "Forwarding/StubEndpoint.h"
#include "Routing/Random.h"
#include "Soak/FaultProxy.h"
#include "Soak/SoakLedger.h"

namespace parsleycove {

// Layers of the soak's model, and events of each of its streams.
inline constexpr int kSoakLayers = 4;
inline constexpr int kSoakEvents = 12;
// Header by which callers name the parts of a prompt, the last one the caller's
// own, and a part that crashes each engine that begins to answer it.
inline constexpr char kSoakPartsHeader[] = "Prompt-Prefix";
inline constexpr char kSoakCrashingPart[] = "666:30";

// End of the path of the request that crashes each back end that runs it.
inline constexpr char kSoakCrash[] = "-crash";

class SoakBackend
{
public:
  SoakBackend(boost::asio::io_context& aContext,
              SoakLedger& aLedger,
              std::string aId,
              bool aIsEngine,
              std::uint64_t aSeed);

  const std::string& Id() const { return m_id; }
  FaultProxy& Proxy() { return m_proxy; }
  std::string Address() const { return m_proxy.Address().ToString(); }
  // Is silent to everybody for a while and then goes on; harms nobody.
  void FallSilent(Duration aLength);
  // Refuses new requests for a while and goes on with those it has.
  void RefuseWork(Duration aLength);
  // Names a limit of requests a second in its answers for a while.
  void NameLimit(double aPerSecond, Duration aLength);
  // Sends aHead, after the status line and the attempt's id, and then aBytes
  // without end in place of every plain answer. No body begins before aLeast
  // such answers have: one that is broken off may keep other requests away.
  void SendEndlessly(std::string aHead, std::string aBytes, int aLeast);
  // Returns the numbers of endless answers begun, and of those that the gateway
  // has closed.
  int EndlessAnswers() const { return m_endlessAnswers; }
  int ClosedAnswers() const { return m_stub.Abandoned(); }
  // Announces itself to one control VM after the other, until Stop. When it
  // leaves, aOnLeaving is called once that was acknowledged.
  void Announce(std::vector<SocketAddress> aControls);
  void Leave(std::function<void()> aOnLeaving);
  void Stop();
  bool IsLeaving() const { return m_onLeaving != nullptr; }

private:
  std::vector<StubStep> Answer(const HttpRequest& aRequest);
  std::vector<StubStep> AnswerPlain(const HttpRequest& aRequest);
  std::vector<StubStep> AnswerStream(const HttpRequest& aRequest);
  std::vector<StubStep> AnswerOrder(const HttpRequest& aRequest);
  // The process ends and is back later as a new incarnation without layers.
  void Crash();
  boost::asio::awaitable<void> ComeBack();
  bool RunsEveryLayer(const std::string& aPath) const;
  void NoteRun(const HttpRequest& aRequest);
  // Records that the back end ended under the streams it had begun.
  void NoteStreamsCut(const std::string& aHow, TimePoint aNow);
  // Adds the limit that the back end names now to the head of an answer.
  std::string WithLimit(std::string aHead) const;
  std::string MakeReport();
  boost::asio::awaitable<void> KeepAnnouncing();

  boost::asio::io_context& m_context;
  SoakLedger& m_ledger;
  const std::string m_id;
  const bool m_isEngine;
  StubEndpoint m_stub;
  FaultProxy m_proxy;
  EndpointClient m_client;
  Random m_random;
  std::vector<SocketAddress> m_controls;
  std::size_t m_turn = 0;
  int m_first = 0;
  int m_end = 0;
  int m_sequence = 0;
  int m_born = 1;
  TimePoint m_refusesUntil{};
  std::string m_endlessHead;
  // Empty: plain answers have an end.
  std::string m_endlessBytes;
  int m_leastEndless = 0;
  int m_endlessAnswers = 0;
  double m_limit = 0;
  TimePoint m_limitUntil{};
  bool m_isStopped = false;
  // Attempts whose streams have begun and not ended; those that the gateway
  // closed stay listed until the back end ends.
  std::set<std::string> m_streams;
  std::function<void()> m_onLeaving;
};

} // namespace parsleycove
