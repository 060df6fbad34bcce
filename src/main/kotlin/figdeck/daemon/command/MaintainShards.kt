package figdeck.daemon.command

import figdeck.command.Step
import figdeck.command.ownership.HostLease
import figdeck.command.ownership.ShardPlan
import figdeck.command.ownership.beginLeaving
import figdeck.command.ownership.confirmClaim
import figdeck.command.ownership.confirmExpiry
import figdeck.command.ownership.confirmRelease
import figdeck.command.ownership.missingShards
import figdeck.command.ownership.observeHosts
import figdeck.command.ownership.observeShards
import figdeck.command.ownership.planClaims
import figdeck.command.ownership.planExpiries
import figdeck.command.ownership.planLeaseRelease
import figdeck.command.ownership.planRelease
import figdeck.command.ownership.timeToNextExpiry
import figdeck.log.PartLog
import figdeck.model.CallResult
import figdeck.model.CommitReply
import figdeck.model.Moment
import figdeck.model.map
import figdeck.model.valueOrNull
import kotlinx.coroutines.withTimeoutOrNull
import kotlin.time.Duration.Companion.seconds

private const val MAX_SHARDS_PER_TRANSACTION = 256
private val LEAVE_TIMEOUT = 5.seconds
private val log = PartLog("shards")

/** Tracks the membership of the fleet and claims and releases shards accordingly, until cancelled. */
internal suspend fun MembershipServices.maintainShards(clock: () -> Moment) {
    var lastScanAt: Moment? = null
    while (true) {
        val changed = refreshHosts()
        val isScanDue = lastScanAt?.let { clock() - it >= ownership.times.shardScan } ?: true
        if (changed || isScanDue || ownership.missingShards().isNotEmpty()) {
            lastScanAt = clock().takeIf { refreshShards() }
        }
        val untilLapse = ownership.timeToNextExpiry(clock()) ?: ownership.times.scan
        withTimeoutOrNull(minOf(untilLapse, ownership.times.scan)) { shardsReleased.receive() }
    }
}

/** Marks this host as leaving and releases its shards to the hosts that stay. Gives up after [LEAVE_TIMEOUT]. */
internal suspend fun MembershipServices.leaveFleet() {
    change { state, _ -> beginLeaving(state) }
    withTimeoutOrNull(LEAVE_TIMEOUT) {
        renew()
        releaseShards()
    }
}

/** Deletes the lease, so that no other host has to wait until it expires. */
internal suspend fun MembershipServices.deleteLease() {
    val plan = decide { state, _ -> planLeaseRelease(state) } ?: return
    withTimeoutOrNull(LEAVE_TIMEOUT) { platform.commitExpiry(plan) }
}

private suspend fun MembershipServices.refreshHosts(): Boolean {
    val rows = platform.scanHosts().valueOrNull() ?: return false
    val changed = decide { state, now -> observeHosts(state, rows, now) }
    val expired = decide { state, now -> planExpiries(state, now) }.filter { plan ->
        val reply = platform.commitExpiry(plan).valueOrNull()
        (reply is CommitReply.Committed).also { if (it) change { state, _ -> confirmExpiry(state, plan) } }
    }
    expired.forEach { log.info { "the lease of host ${it.host} expired" } }
    return changed || expired.isNotEmpty()
}

private suspend fun MembershipServices.refreshShards(): Boolean {
    val rows = platform.scanShards().valueOrNull() ?: return false
    change { state, _ -> observeShards(state, rows) }
    val claimed = claimShards()
    return releaseShards() && claimed
}

/** Claims shards. Returns whether all claims were committed; if not, the shard rows have to be read again. */
private suspend fun MembershipServices.claimShards(): Boolean {
    var plan = decide { state, now -> Step(state, planClaims(state, MAX_SHARDS_PER_TRANSACTION, now)) }
    while (plan != null) {
        val claim = plan
        val version = commit(claim) ?: return false
        change { state, now -> confirmClaim(state, claim, version, now) }
        plan = decide { state, now -> Step(state, planClaims(state, MAX_SHARDS_PER_TRANSACTION, now)) }
    }
    return true
}

/** Releases shards. Returns whether all releases were committed; if not, the shard rows have to be read again. */
private suspend fun MembershipServices.releaseShards(): Boolean {
    val newOwners = mutableSetOf<HostLease>()
    var confirmed = true
    var plan = decide { state, _ -> planRelease(state, MAX_SHARDS_PER_TRANSACTION) }
    while (plan != null) {
        val release = plan
        val version = commit(release)
        if (version != null) {
            change { state, _ -> confirmRelease(state, release, version) }
            newOwners += newOwnersOf(release)
        }
        confirmed = version != null
        plan = if (version == null) null else decide { state, _ -> planRelease(state, MAX_SHARDS_PER_TRANSACTION) }
    }
    newOwners.forEach { peers.notifyReleased(it) }
    return confirmed
}

private fun MembershipServices.newOwnersOf(release: ShardPlan): Set<HostLease> = release.rows
    .mapNotNull { ownership.preferences.ownerOf(it.shard) }
    .filterNot { it == ownership.self.host }
    .mapNotNull { ownership.hosts[it]?.row?.lease }
    .toSet()

private suspend fun MembershipServices.commit(plan: ShardPlan): Long? {
    val reply = platform.commitShards(plan).map { it as? CommitReply.Committed }
    return (reply as? CallResult.Done)?.value?.version
}
