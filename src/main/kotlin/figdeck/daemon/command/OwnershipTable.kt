package figdeck.daemon.command

import figdeck.command.ownership.ExpiryPlan
import figdeck.command.ownership.HostRow
import figdeck.command.ownership.RenewalPlan
import figdeck.command.ownership.ShardPlan
import figdeck.command.ownership.ShardRow
import figdeck.command.ownership.hostKey
import figdeck.command.ownership.shardKey
import figdeck.model.CallResult
import figdeck.model.CommitReply
import figdeck.model.HostId
import figdeck.model.RowCheck
import figdeck.model.RowWrite
import figdeck.model.SHARD_COUNT
import figdeck.model.TableTransaction
import figdeck.model.map
import figdeck.store.Store
import figdeck.store.query.Lookup
import figdeck.wire.command.decodeHostRow
import figdeck.wire.command.decodeShardRow
import figdeck.wire.command.encodeHostLease
import figdeck.wire.command.encodeShardRow

private const val MAX_HOSTS = 2_000
private const val HOST_PREFIX = "host/"
private const val SHARD_PREFIX = "shard/"

internal suspend fun Store.commitRenewal(plan: RenewalPlan): CallResult<CommitReply> {
    val key = hostKey(plan.lease.host)
    val write = RowWrite(key, encodeHostLease(plan.lease))
    return commands.commit(TableTransaction(listOf(RowCheck(key, plan.expected)), listOf(write)))
}

/** Deletes the row of the host if it still has the version in [plan]. */
internal suspend fun Store.commitExpiry(plan: ExpiryPlan): CallResult<CommitReply> {
    val key = hostKey(plan.host)
    return commands.commit(TableTransaction(listOf(RowCheck(key, plan.version)), listOf(RowWrite(key, null))))
}

internal suspend fun Store.commitShards(plan: ShardPlan): CallResult<CommitReply> {
    val shardChecks = plan.rows.map { RowCheck(shardKey(it.shard), it.version) }
    val ownerChecks = plan.ownerChecks.map { (host, version) -> RowCheck(hostKey(host), version) }
    val writes = plan.rows.map { RowWrite(shardKey(it.shard), encodeShardRow(it)) }
    return commands.commit(TableTransaction(shardChecks + ownerChecks, writes))
}

internal suspend fun Store.readHost(host: HostId): CallResult<Lookup<HostRow>> =
    queries.readRow(hostKey(host)).map { found -> Lookup(found.value?.let { decodeHostRow(it) }) }

internal suspend fun Store.scanHosts(): CallResult<List<HostRow>> =
    queries.scanRows(HOST_PREFIX, "", MAX_HOSTS).map { rows -> rows.mapNotNull { decodeHostRow(it) } }

internal suspend fun Store.scanShards(): CallResult<List<ShardRow>> =
    queries.scanRows(SHARD_PREFIX, "", SHARD_COUNT).map { rows -> rows.mapNotNull { decodeShardRow(it) } }
