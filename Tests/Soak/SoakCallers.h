// Callers of the entry VMs: send requests of all kinds on kept and on new
// connections and check every answer.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include "Forwarding/EndpointClient.h"
#include "Routing/Random.h"
#include "Soak/HeldConnection.h"
#include "Soak/SoakLedger.h"

namespace parsleycove {

// How callers reach one entry VM.
struct SoakEntryDoor
{
  std::string m_name;
  // Through a link that may be harmed, and directly.
  SocketAddress m_link;
  SocketAddress m_direct;
};

// Which requests crash back ends.
struct SoakCrashing
{
  // Some prompts with a part that does.
  bool m_hasPart = false;
  // One request of this kind, which comes again whole.
  std::optional<AttemptKind> m_request;
};

class SoakCallers
{
public:
  SoakCallers(boost::asio::io_context& aContext,
              SoakLedger& aLedger,
              std::vector<SoakEntryDoor> aEntries,
              std::uint64_t aSeed,
              SoakCrashing aCrashing);

  // One request to a random VM.
  void Ask();
  // Keeps connections to each VM open until its process is gone, idle and in
  // use, and opens them again, until Release.
  void Hold();
  void Release() { m_isHolding = false; }
  int Open() const { return m_open; }

private:
  struct Errand
  {
    std::string m_attempt;
    AttemptKind m_kind{};
    std::string m_key;
    const SoakEntryDoor* m_entry = nullptr;
    bool m_isCrashing = false;
    // Equal to all others of its kind, but for its attempt.
    bool m_isRepeat = false;
  };

  Errand DrawErrand(const SoakEntryDoor& aEntry);
  HttpRequest MakeRequest(const Errand& aErrand) const;
  // Over aHeld if it is not nullptr, otherwise through the link.
  boost::asio::awaitable<void> Exchange(Errand aErrand, HeldConnection* aHeld);
  boost::asio::awaitable<void> UseHeld(const SoakEntryDoor& aEntry,
                                       bool aIsIdle);
  void CheckAnswer(const Errand& aErrand, const HttpResponse& aResponse);
  void CheckSuccess(const std::string& aAttempt,
                    AttemptKind aKind,
                    const HttpResponse& aResponse);

  boost::asio::io_context& m_context;
  SoakLedger& m_ledger;
  const std::vector<SoakEntryDoor> m_entries;
  EndpointClient m_client;
  Random m_random;
  const SoakCrashing m_crashing;
  bool m_isHolding = false;
  std::uint64_t m_count = 0;
  int m_open = 0;
};

} // namespace parsleycove
