#include "yuccamoor/transport/fleet/quota_keeper.h"

#include <cmath>
#include <cstdint>
#include <utility>

#include "yuccamoor/state/stable_hash.h"

namespace yuccamoor::fleet {

namespace {

constexpr char kMembersName[] = "quota-members";
// Nodes that start together become members in few writes.
constexpr DurationMs kMembersInterval{1'000};
// Smaller changes of what is lent to this node are not logged.
constexpr double kLoggedChange = 0.2;

// A number that no other process of any node has, and that is not zero.
std::uint64_t ProcessNumber(const NodeContext& context) {
  return (StableBucketHash(context.settings.node.str()) ^
          static_cast<std::uint64_t>(context.clock.Now().ms()) << 32) |
         1;
}

QuotaTimes TimesOf(const NodeContext& context) {
  return QuotaTimes::For(context.settings.max_propagation_delay);
}

}  // namespace

QuotaKeeper::QuotaKeeper(NodeContext& context, FleetStore& store,
                         TenantQuotas::Send send)
    : m_context(context),
      m_store(store),
      m_quotas(context.settings.node, ProcessNumber(context), TimesOf(context),
               context.clock.Now(), std::move(send)),
      m_plan(context.settings.node, TimesOf(context)) {}

void QuotaKeeper::OnTick(TimeMs now) {
  const FleetView& view = m_context.view;
  const auto& routes = view.routes();
  const bool in_use = routes && routes->has_quotas();
  if (in_use) {
    ReadMembers();
    WriteMembers(now);
  }
  m_quotas.OnTick(view.nodes(), m_members, view.current_at(), in_use, now);
  if (in_use) NoteState(now);
}

void QuotaKeeper::OnMessage(const QuotaMessage& message) {
  m_quotas.OnMessage(message, m_context.clock.Now());
}

void QuotaKeeper::ReadMembers() {
  SharedRecord record = m_context.view.FindShared(kMembersName);
  const bool is_same =
      record.revision == m_record.revision && record.value == m_record.value;
  if (is_same) return;
  m_record = std::move(record);
  m_members = DecodeQuotaMembers(m_record.value);
  m_context.log.Event("quota_members")
      .Number("joining", m_members.joining.size())
      .Number("settled", m_members.settled.size());
}

void QuotaKeeper::WriteMembers(TimeMs now) {
  if (m_is_writing || now - m_checked < kMembersInterval) return;
  m_checked = now;
  const auto next = m_plan.Next(m_context.view.nodes(), m_members, now);
  if (!next) return;
  m_is_writing = true;
  m_context.metrics.store_calls.Add();
  m_store.PutRecord(FleetView::SharedKey(kMembersName),
                    EncodeQuotaMembers(*next), m_record.revision,
                    [this](const WriteReply& reply) {
                      // The record's new content comes with a watch.
                      m_is_writing = false;
                      m_context.log.Event("quota_members_written")
                          .Text("outcome", ToText(reply.status));
                    });
}

void QuotaKeeper::NoteIssued() {
  for (std::uint64_t pool = 0; pool < kQuotaPools; ++pool) {
    const double share = m_quotas.issuer().ShareOf(QuotaPool(pool));
    const NodeId& issuer = m_quotas.IssuerOf(QuotaPool(pool));
    Issued& logged = m_logged[pool];
    const bool is_same = issuer == logged.issuer &&
                         std::abs(share - logged.share) < kLoggedChange;
    if (is_same) continue;
    logged = {issuer, share};
    m_context.log.Event("quota_issuer")
        .Number("pool", pool)
        .Text("issuer", issuer.str())
        .Real("share_issued_here", share);
  }
}

void QuotaKeeper::NoteState(TimeMs now) {
  NoteIssued();
  const double part = m_quotas.share().Part(now);
  m_context.metrics.quota_share.Set(part);
  if (part == m_logged_part) return;
  m_logged_part = part;
  m_context.log.Event("quota_share")
      .Real("part", part)
      .Number("counted", m_quotas.share().counted());
}

}  // namespace yuccamoor::fleet
