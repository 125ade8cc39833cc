/// \file
/// \brief Keeps tenants' quotas: ties the decisions to the store and the peers.

#ifndef YUCCAMOOR_TRANSPORT_FLEET_QUOTA_KEEPER_H_
#define YUCCAMOOR_TRANSPORT_FLEET_QUOTA_KEEPER_H_

#include <array>

#include "yuccamoor/coordination/fleet/fleet_store.h"
#include "yuccamoor/coordination/quota/tenant_quotas.h"
#include "yuccamoor/transport/fleet/node_context.h"

namespace yuccamoor::fleet {

/// One node's part. Does nothing unless the configuration limits a tenant.
class QuotaKeeper {
 public:
  QuotaKeeper(NodeContext& context, FleetStore& store, TenantQuotas::Send send);

  void OnTick(TimeMs now);
  void OnMessage(const QuotaMessage& message);
  TenantQuotas& quotas() { return m_quotas; }

 private:
  // The issuer of a pool, and the part of its quotas that this node issues.
  struct Issued {
    NodeId issuer;
    double share = 0;
  };

  void ReadMembers();
  void WriteMembers(TimeMs now);
  void NoteState(TimeMs now);
  void NoteIssued();

  NodeContext& m_context;
  FleetStore& m_store;
  TenantQuotas m_quotas;
  QuotaMemberPlan m_plan;
  SharedRecord m_record;
  QuotaMembers m_members;
  bool m_is_writing = false;
  TimeMs m_checked;
  double m_logged_part = -1;
  std::array<Issued, kQuotaPools> m_logged;
};

}  // namespace yuccamoor::fleet

#endif  // YUCCAMOOR_TRANSPORT_FLEET_QUOTA_KEEPER_H_
