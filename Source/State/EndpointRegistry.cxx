// Rules of the endpoint registry.
#include "State/EndpointRegistry.h"

#include <algorithm>
#include <string>
#include <unordered_set>

#include "State/EntityChecks.h"
#include "State/NamedEntities.h"

namespace parsleycove {

namespace {

void
Refuse(state::CommandResultT& aResult,
       state::ResultCode aCode,
       std::string aText)
{
  aResult.code = aCode;
  aResult.text = std::move(aText);
}

std::string
DescribeStale(const std::string& aId,
              std::uint64_t aIncarnation,
              std::uint64_t aListed)
{
  return "endpoint '" + aId + "': incarnation is " +
         std::to_string(aIncarnation) + ", expected at least " +
         std::to_string(aListed);
}

Fault
CheckLayers(const state::ConfigImageT& aImage,
            const state::EndpointT& aEndpoint)
{
  if (aEndpoint.kind != state::EndpointKind::Engine) {
    return std::nullopt;
  }
  const state::ModelT* model = FindEntity(aImage.models, aEndpoint.model);
  if (model == nullptr || model->version != aEndpoint.version ||
      aEndpoint.last_layer < model->layers) {
    return std::nullopt;
  }
  return "endpoint '" + aEndpoint.id + "': last_layer is " +
         std::to_string(aEndpoint.last_layer) + ", expected less than the " +
         std::to_string(model->layers) + " layers of model '" + model->name +
         "'";
}

template<typename Doomed>
void
RemoveIf(EntityList<state::EndpointT>& aList, Doomed aDoomed)
{
  aList.erase(std::remove_if(aList.begin(), aList.end(), aDoomed), aList.end());
}

// Removes orders whose endpoint is not listed in the order's incarnation.
void
RemoveOrphanedOrders(state::ConfigImageT& aImage)
{
  auto isOrphaned = [&](const auto& aOrder) {
    const state::EndpointT* endpoint =
      FindEntity(aImage.endpoints, aOrder->endpoint->id);
    return endpoint == nullptr ||
           endpoint->incarnation != aOrder->endpoint->incarnation;
  };
  aImage.orders.erase(
    std::remove_if(aImage.orders.begin(), aImage.orders.end(), isOrphaned),
    aImage.orders.end());
}

// An address belongs to the endpoint that started last. Only endpoints that
// count their reports carry a start time as their incarnation, so only those
// can be compared.
Fault
TakeAddress(state::ConfigImageT& aImage, const state::EndpointT& aEndpoint)
{
  if (aEndpoint.report == 0) {
    return std::nullopt;
  }
  auto isRival = [&](const auto& aListed) {
    return aListed->report != 0 && aListed->id != aEndpoint.id &&
           aListed->address == aEndpoint.address &&
           aListed->port == aEndpoint.port;
  };
  for (const auto& listed : aImage.endpoints) {
    if (isRival(listed) && listed->incarnation > aEndpoint.incarnation) {
      return "endpoint '" + aEndpoint.id + "': its address belongs to '" +
             listed->id + "', which started later";
    }
  }
  // One that has left is kept: its late reports must stay refused.
  RemoveIf(aImage.endpoints, [&](const auto& aListed) {
    return aListed->phase == state::EndpointPhase::Ready && isRival(aListed);
  });
  RemoveOrphanedOrders(aImage);
  return std::nullopt;
}

// No start time has this bit.
constexpr std::uint64_t kLeftMark = 1ULL << 63;

} // namespace

std::uint64_t
DropMark(const state::EndpointT& aListed)
{
  return aListed.phase == state::EndpointPhase::Leaving
           ? aListed.incarnation | kLeftMark
           : aListed.incarnation;
}

void
ApplyAnnounce(state::ConfigImageT& aImage,
              const state::AnnounceEndpointT& aCommand,
              state::CommandResultT& aResult)
{
  using state::ResultCode;
  if (!aCommand.endpoint) {
    Refuse(aResult, ResultCode::Invalid, "endpoint: none, expected one");
    return;
  }
  state::EndpointT endpoint = *aCommand.endpoint;
  endpoint.phase = state::EndpointPhase::Ready;
  if (auto fault = CheckEndpoint(endpoint)) {
    Refuse(aResult, ResultCode::Invalid, *fault);
    return;
  }
  if (auto fault = CheckLayers(aImage, endpoint)) {
    Refuse(aResult, ResultCode::Invalid, *fault);
    return;
  }
  const state::EndpointT* listed = FindEntity(aImage.endpoints, endpoint.id);
  const std::uint64_t previous = listed == nullptr ? 0 : listed->incarnation;
  if (endpoint.incarnation < previous) {
    Refuse(aResult,
           ResultCode::StaleIncarnation,
           DescribeStale(endpoint.id, endpoint.incarnation, previous));
    return;
  }
  if (endpoint.incarnation == previous &&
      listed->phase == state::EndpointPhase::Leaving) {
    Refuse(aResult,
           ResultCode::StaleIncarnation,
           DescribeStale(endpoint.id, endpoint.incarnation, previous + 1) +
             " after it has left");
    return;
  }
  const bool isLate = listed != nullptr && endpoint.incarnation == previous &&
                      endpoint.report < listed->report;
  if (isLate) {
    Refuse(aResult,
           ResultCode::StaleIncarnation,
           "endpoint '" + endpoint.id + "': report is " +
             std::to_string(endpoint.report) + ", expected at least " +
             std::to_string(listed->report));
    return;
  }
  if (auto fault = TakeAddress(aImage, endpoint)) {
    Refuse(aResult, ResultCode::StaleIncarnation, *fault);
    return;
  }
  PutEntity(aImage.endpoints, endpoint);
  if (previous != 0 && endpoint.incarnation != previous) {
    RemoveOrphanedOrders(aImage);
  }
}

void
ApplyLeave(state::ConfigImageT& aImage,
           const state::LeaveEndpointT& aCommand,
           state::CommandResultT& aResult)
{
  using state::ResultCode;
  if (!aCommand.endpoint) {
    Refuse(aResult, ResultCode::Invalid, "endpoint: none, expected one");
    return;
  }
  const state::EndpointRefT& reference = *aCommand.endpoint;
  state::EndpointT* listed = FindEntity(aImage.endpoints, reference.id);
  if (listed == nullptr) {
    Refuse(aResult,
           ResultCode::NotFound,
           "endpoint '" + reference.id + "': leaves, expected a listed one");
    return;
  }
  if (reference.incarnation < listed->incarnation) {
    Refuse(
      aResult,
      ResultCode::StaleIncarnation,
      DescribeStale(reference.id, reference.incarnation, listed->incarnation));
    return;
  }
  // A higher incarnation leaves before its announcement arrived: the listed
  // one is gone, and that announcement, arriving late, must not revive it.
  const bool replaced = reference.incarnation != listed->incarnation;
  listed->incarnation = reference.incarnation;
  listed->phase = state::EndpointPhase::Leaving;
  if (replaced) {
    RemoveOrphanedOrders(aImage);
  }
}

void
ApplySuspect(state::ConfigImageT& aImage,
             const state::SuspectEndpointT& aCommand,
             state::CommandResultT& aResult)
{
  using state::ResultCode;
  state::EndpointT* listed =
    aCommand.endpoint ? FindEntity(aImage.endpoints, aCommand.endpoint->id)
                      : nullptr;
  if (listed == nullptr) {
    Refuse(aResult, ResultCode::NotFound, "suspected endpoint is not listed");
    return;
  }
  if (listed->incarnation != aCommand.endpoint->incarnation) {
    Refuse(aResult,
           ResultCode::StaleIncarnation,
           DescribeStale(
             listed->id, aCommand.endpoint->incarnation, listed->incarnation));
    return;
  }
  if (listed->suspected) {
    aResult.code = ResultCode::Duplicate;
    return;
  }
  listed->suspected = true;
}

void
ApplyDrop(state::ConfigImageT& aImage,
          const state::DropEndpointsT& aCommand,
          state::CommandResultT& aResult)
{
  std::unordered_set<const state::EndpointT*> doomed;
  for (const auto& reference : aCommand.endpoints) {
    const state::EndpointT* listed =
      reference ? FindEntity(aImage.endpoints, reference->id) : nullptr;
    if (listed != nullptr && reference->incarnation == DropMark(*listed)) {
      doomed.insert(listed);
    }
  }
  if (doomed.empty()) {
    aResult.text = "no listed endpoint of these incarnations";
    return;
  }
  RemoveIf(aImage.endpoints, [&](const auto& aEndpoint) {
    return doomed.count(aEndpoint.get()) != 0;
  });
  RemoveOrphanedOrders(aImage);
}

} // namespace parsleycove
