// Limits the memory of messages that are not yet read to their end, over all
// connections of a process. Load pattern: clients that keep to no limit send
// parts of requests on many connections and keep them open, while ordinary
// callers send small requests; or endpoints send bytes without end in place of
// answers.
#pragma once

#include <cstddef>
#include <memory>
#include <utility>

#include <boost/intrusive/list.hpp>
#include <boost/intrusive/set.hpp>

#include "Base/Clock.h"

namespace parsleycove {

// Refuses readers rather than letting them wait, since bytes that wait in the
// kernel take the machine's memory as well. When the budget is full, the reader
// that has received nothing for longest is refused first, and while none has
// stalled, the one that holds most of those that are counted. The largest
// reader is not counted, so that a single request is read to its end whatever
// the budget: all readers hold at most the budget and one request together.
//
// Invariant: used by one thread.
class ReceiveBudget
{
public:
  class Reader
    : public boost::intrusive::list_base_hook<>
    , public boost::intrusive::set_base_hook<>
  {
  public:
    // Shares the budget, which a reader in a suspended coroutine may outlive.
    explicit Reader(std::shared_ptr<ReceiveBudget> aBudget)
      : m_budget(std::move(aBudget))
    {
    }
    virtual ~Reader() { m_budget->Release(*this); }
    Reader(const Reader&) = delete;
    Reader& operator=(const Reader&) = delete;

    // Called once when the reader is refused in favour of others; it must free
    // its memory soon, and must not destroy any reader.
    virtual void OnRefused() = 0;

  protected:
    ReceiveBudget& Budget() const { return *m_budget; }

  private:
    friend class ReceiveBudget;

    const std::shared_ptr<ReceiveBudget> m_budget;
    std::size_t m_bytes = 0;
    TimePoint m_receivedAt{};
  };

  // The memory of a request that was read whole and is being served. It is
  // never refused, since the request may run; while such requests take the
  // budget, only small ones are read besides.
  class Served
  {
  public:
    Served(std::shared_ptr<ReceiveBudget> aBudget, std::size_t aBytes)
      : m_budget(std::move(aBudget))
      , m_bytes(aBytes)
    {
      m_budget->m_servedBytes += m_bytes;
    }
    ~Served() { m_budget->m_servedBytes -= m_bytes; }
    Served(const Served&) = delete;
    Served& operator=(const Served&) = delete;

  private:
    const std::shared_ptr<ReceiveBudget> m_budget;
    const std::size_t m_bytes;
  };

  // A reader that has received nothing for this long has stalled: a caller
  // inside the limits sends its request without longer pauses.
  static constexpr Duration kStalledAfter = std::chrono::seconds(1);
  // For peers that may pause for any time.
  static constexpr Duration kNeverStalled = Duration::max();

  explicit ReceiveBudget(std::size_t aLimitBytes,
                         Duration aStalledAfter = kStalledAfter)
    : m_limitBytes(aLimitBytes)
    , m_stalledAfter(aStalledAfter)
  {
  }

  // Records that aReader has received something and holds aBytes now. Returns
  // false if aReader itself is refused.
  bool Hold(Reader& aReader, std::size_t aBytes, TimePoint aNow);
  // Records that aReader holds nothing any more.
  void Release(Reader& aReader);
  std::size_t HeldBytes() const { return m_heldBytes; }
  std::size_t ServedBytes() const { return m_servedBytes; }

private:
  struct BytesOrder
  {
    bool operator()(const Reader& aLeft, const Reader& aRight) const
    {
      return aLeft.m_bytes < aRight.m_bytes;
    }
  };

  bool IsFull() const;
  Reader& ChooseRefused(TimePoint aNow);

  const std::size_t m_limitBytes;
  const Duration m_stalledAfter;
  std::size_t m_heldBytes = 0;
  std::size_t m_servedBytes = 0;
  // Readers that hold something. Invariant: a reader is in both or in none; the
  // one that has received nothing for longest is first in the list.
  boost::intrusive::list<Reader> m_byProgress;
  boost::intrusive::multiset<Reader, boost::intrusive::compare<BytesOrder>>
    m_bySize;
};

} // namespace parsleycove
