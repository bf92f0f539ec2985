// Builds runner tables for tests of routing.
#include "Routing/TestCluster.h"

namespace parsleycove {

TestCluster&
TestCluster::AddModel(const std::string& aName, std::uint32_t aLayers)
{
  auto model = std::make_unique<state::ModelT>();
  model->name = aName;
  model->version = "v1";
  model->layers = aLayers;
  m_image.models.push_back(std::move(model));
  return *this;
}

state::EndpointT&
TestCluster::AddEndpoint(const std::string& aId)
{
  m_image.endpoints.push_back(std::make_unique<state::EndpointT>());
  state::EndpointT& endpoint = *m_image.endpoints.back();
  endpoint.id = aId;
  endpoint.incarnation = 1;
  endpoint.phase = state::EndpointPhase::Ready;
  endpoint.address = "127.0.0.1";
  endpoint.port = 1;
  endpoint.slots = 8;
  return endpoint;
}

state::EndpointT&
TestCluster::AddEngine(const std::string& aId,
                       const std::string& aModel,
                       std::uint32_t aFirst,
                       std::uint32_t aLast,
                       std::uint32_t aTokensPerSecond,
                       const std::string& aZone)
{
  state::EndpointT& endpoint = AddEndpoint(aId);
  endpoint.kind = state::EndpointKind::Engine;
  endpoint.model = aModel;
  endpoint.version = "v1";
  endpoint.first_layer = aFirst;
  endpoint.last_layer = aLast;
  endpoint.tokens_per_second = aTokensPerSecond;
  endpoint.zone = aZone;
  return endpoint;
}

state::EndpointT&
TestCluster::AddService(const std::string& aId,
                        const std::string& aService,
                        const std::string& aZone)
{
  state::EndpointT& endpoint = AddEndpoint(aId);
  endpoint.kind = state::EndpointKind::PlainService;
  endpoint.service = aService;
  endpoint.zone = aZone;
  return endpoint;
}

boost::intrusive_ptr<const RunnerTable>
TestCluster::Build(const RunnerTable* aPrevious, TimePoint aNow) const
{
  const ClusterView view(m_image);
  return RunnerTable::Build(aNow, view, aPrevious);
}

} // namespace parsleycove
