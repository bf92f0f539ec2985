// Keeps the calls of endpoints that fell silent while a successor serves the
// request.
#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "Forwarding/EndpointCall.h"

namespace parsleycove {

// The calls are read in the background until they hold something that serves
// the caller, so that bytes without an event or an end do not count.
//
// Invariant: no event was relayed since the first of the calls was kept, so all
// of them continue at the same place.
class SilentCalls
{
public:
  // Returns true if the unused bytes of an answer serve the caller. aIsEnded:
  // the answer has ended in order.
  using IsUsable =
    std::function<bool(const std::string& aUnusedBytes, bool aIsEnded)>;

  explicit SilentCalls(asio::io_context& aContext);
  ~SilentCalls();
  SilentCalls(const SilentCalls&) = delete;
  SilentCalls& operator=(const SilentCalls&) = delete;

  // Keeps a suspended call with the bytes that were read and not used. Calls
  // aOnAnswer once when the endpoint goes on and aIsUsable holds. Errors and
  // refusals are kept without a call.
  void Keep(EndpointCallPtr aCall,
            std::string aUnusedBytes,
            IsUsable aIsUsable,
            std::function<void()> aOnAnswer);
  // Gives up one call, which the caller goes on reading: one that has answered,
  // or else the oldest. Sets aUnusedBytes to what was read of it. Returns
  // nullptr if all calls have broken off.
  asio::awaitable<EndpointCallPtr> Resume(std::string& aUnusedBytes);
  // Closes all calls.
  void DropAll();

  // Returns true if every call has broken off, or none was kept.
  bool IsEmpty() const;
  // Returns true if an endpoint has gone on with its answer.
  bool HasAnswered() const;

private:
  enum class State
  {
    Reading,
    Answered,
    // The answer is an error or a refusal; another call may do better.
    Failed,
    Broken,
  };
  struct Entry;
  using EntryPtr = std::shared_ptr<Entry>;

  static asio::awaitable<void> Read(EntryPtr aEntry);
  static State StateAfterReading(const Entry& aEntry, bool aIsEnded);
  EntryPtr TakeBest();

  asio::io_context& m_context;
  // The oldest is first.
  std::vector<EntryPtr> m_entries;
};

} // namespace parsleycove
