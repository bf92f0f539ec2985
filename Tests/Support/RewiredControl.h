// The replicated state as one VM sees it whose way to the endpoints leads over
// links of a test.
#pragma once

#include <cstdint>
#include <map>
#include <utility>

#include "Support/FakeControl.h"

namespace parsleycove {

// Passes everything on, and replaces the ports of endpoints in the view.
class RewiredControl final : public ControlPort
{
public:
  explicit RewiredControl(FakeControl& aInner)
    : m_inner(aInner)
  {
  }
  void Rewire(std::uint16_t aPort, std::uint16_t aLink)
  {
    m_links[aPort] = aLink;
  }

  void Propose(state::CommandT aCommand,
               TimePoint aDeadline,
               ProposeHandler aHandler) override
  {
    m_inner.Propose(std::move(aCommand), aDeadline, std::move(aHandler));
  }
  void ReadAction(std::string aAccount,
                  std::string aKey,
                  TimePoint aDeadline,
                  ReadActionHandler aHandler) override
  {
    m_inner.ReadAction(
      std::move(aAccount), std::move(aKey), aDeadline, std::move(aHandler));
  }
  void ConfirmView(TimePoint aDeadline, ConfirmHandler aHandler) override
  {
    m_inner.ConfirmView(aDeadline, std::move(aHandler));
  }
  void ReadStatus(TimePoint aDeadline, StatusHandler aHandler) override
  {
    m_inner.ReadStatus(aDeadline, std::move(aHandler));
  }
  void AddReplica(feed::AddReplicaT aRequest,
                  TimePoint aDeadline,
                  AdminHandler aHandler) override
  {
    m_inner.AddReplica(std::move(aRequest), aDeadline, std::move(aHandler));
  }
  void RemoveReplica(std::uint64_t aReplica,
                     TimePoint aDeadline,
                     AdminHandler aHandler) override
  {
    m_inner.RemoveReplica(aReplica, aDeadline, std::move(aHandler));
  }
  boost::intrusive_ptr<const ClusterView> View() const override
  {
    auto view = m_inner.View();
    if (view != m_seen) {
      m_seen = view;
      state::ConfigImageT image(view->Image());
      for (auto& endpoint : image.endpoints) {
        if (const auto link = m_links.find(endpoint->port);
            link != m_links.end()) {
          endpoint->port = link->second;
        }
      }
      m_rewired.reset(new ClusterView(std::move(image)));
    }
    return m_rewired;
  }
  bool HasLease(TimePoint aNow) const override
  {
    return m_inner.HasLease(aNow);
  }
  std::uint64_t InForceIndex() const override { return m_inner.InForceIndex(); }
  std::uint32_t GatewayCount() const override { return m_inner.GatewayCount(); }
  void RenewEndpoint(const std::string& aId,
                     std::uint64_t aIncarnation) override
  {
    m_inner.RenewEndpoint(aId, aIncarnation);
  }
  void AnnounceStopping() override { m_inner.AnnounceStopping(); }

private:
  FakeControl& m_inner;
  std::map<std::uint16_t, std::uint16_t> m_links;
  mutable boost::intrusive_ptr<const ClusterView> m_seen;
  mutable boost::intrusive_ptr<const ClusterView> m_rewired;
};

} // namespace parsleycove
