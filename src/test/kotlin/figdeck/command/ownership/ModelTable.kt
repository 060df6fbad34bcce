package figdeck.command.ownership

import figdeck.model.ABSENT
import figdeck.model.HostId
import figdeck.model.Shard

/** The host and shard rows of a simulated table, with compare-and-set on versions. */
class ModelTable {
    private val hosts = mutableMapOf<HostId, HostRow>()
    private val shards = mutableMapOf<Shard, ShardRow>()
    private var version = 0L

    fun hostRows(): List<HostRow> = hosts.values.toList()

    fun shardRows(): List<ShardRow> = shards.values.toList()

    fun host(id: HostId): HostRow? = hosts[id]

    /** Writes the row and returns its new version, or null after a conflict. */
    fun renew(plan: RenewalPlan): Long? = writing(hostVersion(plan.lease.host) == plan.expected) {
        hosts[plan.lease.host] = HostRow(plan.lease, version)
    }

    fun expire(plan: ExpiryPlan): Long? = writing(hostVersion(plan.host) == plan.version) { hosts.remove(plan.host) }

    fun change(plan: ShardPlan): Long? {
        val shardsMatch = plan.rows.all { (shards[it.shard]?.version ?: ABSENT) == it.version }
        val ownersMatch = plan.ownerChecks.all { (host, expected) -> hostVersion(host) == expected }
        return writing(shardsMatch && ownersMatch) {
            plan.rows.forEach { shards[it.shard] = it.copy(version = version) }
        }
    }

    private fun hostVersion(id: HostId): Long = hosts[id]?.version ?: ABSENT

    private fun writing(allowed: Boolean, write: () -> Unit): Long? {
        if (!allowed) {
            return null
        }
        version++
        write()
        return version
    }
}
