// Rules of the orders to engines.
#include "State/OrderBook.h"

#include <algorithm>
#include <string>

#include "State/EntityChecks.h"
#include "State/NamedEntities.h"

namespace parsleycove {

namespace {

bool
IsSameTarget(const state::EngineOrderT& aLeft,
             const state::EngineOrderT& aRight)
{
  return aLeft.endpoint->id == aRight.endpoint->id &&
         aLeft.kind == aRight.kind &&
         (aLeft.kind != state::OrderKind::LoadAdapter ||
          aLeft.adapter == aRight.adapter);
}

// Equal but for the fencing number and whether it is done.
bool
IsSameOrder(const state::EngineOrderT& aLeft, const state::EngineOrderT& aRight)
{
  return IsSameTarget(aLeft, aRight) &&
         aLeft.endpoint->incarnation == aRight.endpoint->incarnation &&
         aLeft.model == aRight.model && aLeft.version == aRight.version &&
         aLeft.adapter == aRight.adapter &&
         aLeft.first_layer == aRight.first_layer &&
         aLeft.last_layer == aRight.last_layer && aLeft.role == aRight.role;
}

Fault
CheckHoldLayers(const state::ConfigImageT& aImage,
                const state::EngineOrderT& aOrder)
{
  const std::string where = "order '" + aOrder.id + "': ";
  const state::ModelT* model = FindEntity(aImage.models, aOrder.model);
  if (model == nullptr) {
    return where + "model is '" + aOrder.model +
           "', expected the name of a model";
  }
  if (aOrder.first_layer > aOrder.last_layer ||
      aOrder.last_layer >= model->layers) {
    return where + "layers are " + std::to_string(aOrder.first_layer) + " to " +
           std::to_string(aOrder.last_layer) + ", expected a range below " +
           std::to_string(model->layers);
  }
  return std::nullopt;
}

Fault
CheckOrder(const state::ConfigImageT& aImage, const state::EngineOrderT& aOrder)
{
  if (auto fault = CheckName("order: id", aOrder.id)) {
    return fault;
  }
  switch (aOrder.kind) {
    case state::OrderKind::HoldLayers:
      return CheckHoldLayers(aImage, aOrder);
    case state::OrderKind::ChangeRole:
      return CheckName("order '" + aOrder.id + "': role", aOrder.role);
    case state::OrderKind::LoadAdapter:
      return CheckName("order '" + aOrder.id + "': adapter", aOrder.adapter);
  }
  return "order '" + aOrder.id +
         "': kind is unknown, expected hold_layers, change_role or "
         "load_adapter";
}

void
Refuse(state::CommandResultT& aResult,
       state::ResultCode aCode,
       std::string aText)
{
  aResult.code = aCode;
  aResult.text = std::move(aText);
}

// Checks that the order's engine is listed; sets the result when it is not.
bool
FindEngine(const state::ConfigImageT& aImage,
           const state::EngineOrderT& aOrder,
           state::CommandResultT& aResult)
{
  using state::ResultCode;
  const state::EndpointT* endpoint =
    aOrder.endpoint ? FindEntity(aImage.endpoints, aOrder.endpoint->id)
                    : nullptr;
  if (endpoint == nullptr || endpoint->kind != state::EndpointKind::Engine) {
    Refuse(aResult,
           ResultCode::NotFound,
           "order '" + aOrder.id +
             "': endpoint is not listed, expected an engine");
    return false;
  }
  if (endpoint->incarnation != aOrder.endpoint->incarnation) {
    Refuse(aResult,
           ResultCode::StaleIncarnation,
           "order '" + aOrder.id + "': incarnation is " +
             std::to_string(aOrder.endpoint->incarnation) + ", expected " +
             std::to_string(endpoint->incarnation));
    return false;
  }
  return true;
}

std::size_t
CountOrders(const state::ConfigImageT& aImage, const std::string& aEndpoint)
{
  return std::count_if(
    aImage.orders.begin(), aImage.orders.end(), [&](const auto& aOrder) {
      return aOrder->endpoint->id == aEndpoint;
    });
}

} // namespace

void
ApplyIssue(state::ConfigImageT& aImage,
           std::uint64_t aIndex,
           const state::IssueOrderT& aCommand,
           state::CommandResultT& aResult)
{
  using state::ResultCode;
  if (!aCommand.order) {
    Refuse(aResult, ResultCode::Invalid, "order: none, expected one");
    return;
  }
  state::EngineOrderT order = *aCommand.order;
  if (!FindEngine(aImage, order, aResult)) {
    return;
  }
  if (auto fault = CheckOrder(aImage, order)) {
    Refuse(aResult, ResultCode::Invalid, *fault);
    return;
  }
  if (const state::EngineOrderT* listed = FindEntity(aImage.orders, order.id)) {
    const bool same = IsSameOrder(*listed, order);
    Refuse(aResult,
           same ? ResultCode::Duplicate : ResultCode::Invalid,
           same ? "order '" + order.id + "': issued already"
                : "order '" + order.id +
                    "': id is used by another order, expected a new one");
    return;
  }
  auto isSuperseded = [&](const auto& aListed) {
    return IsSameTarget(*aListed, order);
  };
  aImage.orders.erase(
    std::remove_if(aImage.orders.begin(), aImage.orders.end(), isSuperseded),
    aImage.orders.end());
  if (CountOrders(aImage, order.endpoint->id) >= kMaxOrdersPerEndpoint) {
    Refuse(aResult,
           ResultCode::Invalid,
           "order '" + order.id + "': endpoint '" + order.endpoint->id +
             "' has " + std::to_string(kMaxOrdersPerEndpoint) +
             " orders, expected fewer");
    return;
  }
  order.sequence = aIndex;
  order.done = false;
  PutEntity(aImage.orders, order);
}

void
ApplyFinish(state::ConfigImageT& aImage,
            const state::FinishOrderT& aCommand,
            state::CommandResultT& aResult)
{
  using state::ResultCode;
  state::EngineOrderT* listed = FindEntity(aImage.orders, aCommand.id);
  if (listed == nullptr || listed->sequence != aCommand.sequence) {
    Refuse(aResult,
           ResultCode::NotFound,
           "order '" + aCommand.id + "': sequence " +
             std::to_string(aCommand.sequence) +
             " is not listed, expected a pending order");
    return;
  }
  listed->done = true;
}

} // namespace parsleycove
