// Read-copy-update publication of an immutable, counted object.
#pragma once

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <mutex>
#include <thread>

#include <boost/intrusive_ptr.hpp>

namespace parsleycove {

// Marks which threads are inside a read section.
//
// A reader announces the current epoch in its slot, takes its reference and
// clears the slot. A writer swaps the pointer, advances the epoch and waits
// until no slot announces an older one; then no reader can still be about to
// count the replaced object.
class ReadSections
{
public:
  static constexpr std::size_t kMaxThreads = 256;

  static ReadSections& Instance();

  void Enter();
  void Leave();
  void WaitForReaders();

private:
  struct alignas(64) Slot
  {
    std::atomic<std::uint64_t> m_epoch{ 0 }; // 0: outside of any section
    std::atomic<bool> m_used{ false };
  };
  class ThreadSlot;

  Slot& MySlot();

  std::array<Slot, kMaxThreads> m_slots;
  std::atomic<std::uint64_t> m_epoch{ 1 };
};

// Holds the current version of an object; readers take no lock.
template<typename Object>
class Publication
{
public:
  using Pointer = boost::intrusive_ptr<Object>;

  explicit Publication(Pointer aFirst)
    : m_current(aFirst.detach())
  {
  }
  ~Publication() { Pointer(m_current.load(), false); }
  Publication(const Publication&) = delete;
  Publication& operator=(const Publication&) = delete;

  // Returns the current version; it stays valid as long as it is held.
  Pointer Read() const
  {
    ReadSections& sections = ReadSections::Instance();
    sections.Enter();
    Pointer result(m_current.load(std::memory_order_acquire));
    sections.Leave();
    return result;
  }

  // Replaces the current version. Writers may come from several threads.
  void Publish(Pointer aNext)
  {
    const std::lock_guard guard(m_writers);
    Object* previous =
      m_current.exchange(aNext.detach(), std::memory_order_acq_rel);
    ReadSections::Instance().WaitForReaders();
    Pointer(previous, false);
  }

private:
  std::atomic<Object*> m_current;
  std::mutex m_writers;
};

} // namespace parsleycove
