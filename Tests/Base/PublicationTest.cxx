// Tests of read-copy-update publication.
#include "Base/Publication.h"

#include <atomic>
#include <thread>
#include <vector>

#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include <CppUTest/TestHarness.h>

using parsleycove::Publication;

namespace {

std::atomic<int> g_alive{ 0 };

class Version : public boost::intrusive_ref_counter<Version>
{
public:
  explicit Version(int aValue)
    : m_first(aValue)
    , m_second(aValue)
  {
    ++g_alive;
  }
  ~Version()
  {
    m_first = -1;
    --g_alive;
  }
  Version(const Version&) = delete;
  Version& operator=(const Version&) = delete;

  int m_first;
  int m_second;
};

boost::intrusive_ptr<Version>
MakeVersion(int aValue)
{
  return { new Version(aValue) };
}

} // namespace

TEST_GROUP(Publication){};

TEST(Publication, ReadersNeverSeeAFreedOrMixedVersion)
{
  constexpr int kVersions = 2000;
  constexpr int kReaders = 3;
  std::atomic<bool> done{ false };
  std::atomic<int> faults{ 0 };
  {
    Publication<Version> publication(MakeVersion(0));
    std::vector<std::thread> readers;
    for (int i = 0; i < kReaders; ++i) {
      readers.emplace_back([&] {
        int last = 0;
        while (!done) {
          const auto version = publication.Read();
          const bool mixed = version->m_first != version->m_second;
          if (mixed || version->m_first < last) {
            ++faults;
          }
          last = version->m_first;
        }
      });
    }
    for (int i = 1; i <= kVersions; ++i) {
      publication.Publish(MakeVersion(i));
    }
    done = true;
    for (std::thread& reader : readers) {
      reader.join();
    }
    CHECK_EQUAL(kVersions, publication.Read()->m_first);
  }
  CHECK_EQUAL(0, faults.load());
  CHECK_EQUAL(0, g_alive.load());
}
