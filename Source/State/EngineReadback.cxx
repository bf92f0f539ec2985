// What an engine says about the state that its orders led to.
#include "State/EngineReadback.h"

namespace parsleycove {

bool
IsCarriedOut(const state::EngineOrderT& aOrder, const EngineReadback& aReadback)
{
  if (!aOrder.endpoint ||
      aOrder.endpoint->incarnation != aReadback.m_incarnation) {
    return false;
  }
  switch (aOrder.kind) {
    case state::OrderKind::HoldLayers:
      return aOrder.model == aReadback.m_model &&
             aOrder.version == aReadback.m_version &&
             aOrder.first_layer == aReadback.m_firstLayer &&
             aOrder.last_layer == aReadback.m_lastLayer;
    case state::OrderKind::ChangeRole:
      return aOrder.role == aReadback.m_role;
    case state::OrderKind::LoadAdapter:
      return aOrder.sequence == aReadback.m_sequence;
  }
  return false;
}

} // namespace parsleycove
