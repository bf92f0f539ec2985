// Keeps the calls of endpoints that fell silent while a successor serves the
// request.
#include "Forwarding/SilentCalls.h"

#include <algorithm>
#include <array>
#include <utility>

#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "Telemetry/LoggedSpawn.h"

namespace parsleycove {

namespace {

constexpr unsigned kFirstClientError = 400;
// A call with more unused bytes is closed; the limit of whole plain answers.
constexpr std::size_t kMaxUnusedBytes = 8UL * 1024 * 1024;

} // namespace

struct SilentCalls::Entry
{
  EndpointCallPtr m_call;
  std::string m_unusedBytes;
  IsUsable m_isUsable;
  std::function<void()> m_onAnswer;
  State m_state = State::Reading;

  void Break()
  {
    m_state = State::Broken;
    m_unusedBytes.clear();
    m_unusedBytes.shrink_to_fit();
    m_call->DropAnswer();
  }
};

SilentCalls::SilentCalls(asio::io_context& aContext)
  : m_context(aContext)
{
}

SilentCalls::~SilentCalls()
{
  DropAll();
}

void
SilentCalls::Keep(EndpointCallPtr aCall,
                  std::string aUnusedBytes,
                  IsUsable aIsUsable,
                  std::function<void()> aOnAnswer)
{
  aCall->Resume();
  auto entry = std::make_shared<Entry>();
  entry->m_call = std::move(aCall);
  entry->m_unusedBytes = std::move(aUnusedBytes);
  entry->m_isUsable = std::move(aIsUsable);
  entry->m_onAnswer = std::move(aOnAnswer);
  // An answer that is read no more waits for the other calls.
  entry->m_call->SetOnRefused([weak = std::weak_ptr(entry)] {
    if (const EntryPtr refused = weak.lock();
        refused && refused->m_state == State::Failed) {
      refused->Break();
    }
  });
  m_entries.push_back(entry);
  SpawnLogged(m_context, "reading a silent call", Read(entry));
}

asio::awaitable<void>
SilentCalls::Read(EntryPtr aEntry)
{
  EndpointCall& call = *aEntry->m_call;
  bool isOpen = co_await call.ReadHeader();
  bool isUsable = false;
  while (isOpen && !isUsable) {
    isOpen = co_await call.ReadBody(aEntry->m_unusedBytes);
    if (aEntry->m_unusedBytes.size() > kMaxUnusedBytes) {
      call.Abort(CallEnd::Broken);
      isOpen = false;
    }
    isUsable = isOpen && aEntry->m_isUsable(aEntry->m_unusedBytes, false);
  }
  aEntry->m_state = StateAfterReading(*aEntry, !isOpen);
  if (aEntry->m_state == State::Broken && !call.IsSuspended()) {
    aEntry->Break();
  }
  if (aEntry->m_state == State::Answered && aEntry->m_onAnswer) {
    std::exchange(aEntry->m_onAnswer, nullptr)();
  }
}

SilentCalls::State
SilentCalls::StateAfterReading(const Entry& aEntry, bool aIsEnded)
{
  if (aEntry.m_call->End() != CallEnd::None) {
    return State::Broken;
  }
  if (aEntry.m_call->Answer().result_int() >= kFirstClientError) {
    return State::Failed;
  }
  return aEntry.m_isUsable(aEntry.m_unusedBytes, aIsEnded) ? State::Answered
                                                           : State::Broken;
}

SilentCalls::EntryPtr
SilentCalls::TakeBest()
{
  constexpr std::array<State, 3> kOrder{ State::Answered,
                                         State::Reading,
                                         State::Failed };
  for (const State state : kOrder) {
    const auto best = std::find_if(
      m_entries.begin(), m_entries.end(), [&](const EntryPtr& aEntry) {
        return aEntry->m_state == state;
      });
    if (best != m_entries.end()) {
      EntryPtr entry = *best;
      m_entries.erase(best);
      return entry;
    }
  }
  return nullptr;
}

asio::awaitable<EndpointCallPtr>
SilentCalls::Resume(std::string& aUnusedBytes)
{
  for (EntryPtr entry = TakeBest(); entry; entry = TakeBest()) {
    entry->m_onAnswer = nullptr;
    entry->m_call->SetOnRefused(nullptr);
    if (entry->m_state == State::Reading) {
      entry->m_call->Suspend(CallEnd::Stalled);
      while (entry->m_state == State::Reading) {
        co_await asio::post(m_context, asio::use_awaitable);
      }
    }
    const bool isOpen = entry->m_call->Resume();
    if (isOpen || entry->m_state != State::Broken) {
      aUnusedBytes = std::move(entry->m_unusedBytes);
      co_return entry->m_call;
    }
  }
  co_return nullptr;
}

void
SilentCalls::DropAll()
{
  for (const EntryPtr& entry : m_entries) {
    entry->m_onAnswer = nullptr;
    entry->m_call->Abort(CallEnd::Superseded);
  }
  m_entries.clear();
}

bool
SilentCalls::IsEmpty() const
{
  return std::all_of(
    m_entries.begin(), m_entries.end(), [](const EntryPtr& aEntry) {
      return aEntry->m_state == State::Broken;
    });
}

bool
SilentCalls::HasAnswered() const
{
  return std::any_of(
    m_entries.begin(), m_entries.end(), [](const EntryPtr& aEntry) {
      return aEntry->m_state == State::Answered;
    });
}

} // namespace parsleycove
