// Read-copy-update publication of an immutable, counted object.
#include "Base/Publication.h"

#include <cstdlib>

namespace parsleycove {

// Owns one slot for the life of a thread.
class ReadSections::ThreadSlot
{
public:
  explicit ThreadSlot(ReadSections& aSections)
  {
    for (Slot& slot : aSections.m_slots) {
      if (!slot.m_used.exchange(true)) {
        m_slot = &slot;
        return;
      }
    }
    // More threads than slots is a fault of the program itself.
    std::abort();
  }
  ~ThreadSlot() { m_slot->m_used.store(false); }
  ThreadSlot(const ThreadSlot&) = delete;
  ThreadSlot& operator=(const ThreadSlot&) = delete;

  Slot& Get() { return *m_slot; }

private:
  Slot* m_slot = nullptr;
};

ReadSections&
ReadSections::Instance()
{
  // Never destroyed, so that threads may still read while the process ends.
  static auto* s_instance = new ReadSections();
  return *s_instance;
}

ReadSections::Slot&
ReadSections::MySlot()
{
  thread_local ThreadSlot t_slot(*this);
  return t_slot.Get();
}

void
ReadSections::Enter()
{
  MySlot().m_epoch.store(m_epoch.load());
}

void
ReadSections::Leave()
{
  MySlot().m_epoch.store(0);
}

void
ReadSections::WaitForReaders()
{
  const std::uint64_t next = m_epoch.fetch_add(1) + 1;
  for (Slot& slot : m_slots) {
    for (;;) {
      const std::uint64_t seen = slot.m_epoch.load();
      if (seen == 0 || seen >= next) {
        break;
      }
      std::this_thread::yield();
    }
  }
}

} // namespace parsleycove
