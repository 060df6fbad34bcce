package figdeck.command.ownership

import figdeck.model.Address
import figdeck.model.DataCentre
import figdeck.model.HostId
import figdeck.model.Moment
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe

private const val ALL = 1024
private val now = Moment(0, 0)

/** A host whose calls to the [table] run one step at a time. */
private class SteppedHost(name: String, private val table: ModelTable) {
    val id = HostId(name)
    var state = initialOwnership(HostIdentity(id, Address("127.0.0.1", 1), DataCentre("centre-a")), LeaseTimes())

    fun register() {
        val step = planRenewal(state, 7, now)
        val plan = checkNotNull(step.result)
        state = confirmRenewal(step.state, plan, checkNotNull(table.renew(plan)))
    }

    fun readHosts() {
        state = observeHosts(state, table.hostRows(), now).state
    }

    fun readShards() {
        state = observeShards(state, table.shardRows())
    }

    fun claim(): ShardPlan = checkNotNull(planClaims(state, ALL, now))

    fun release(): ShardPlan {
        val step = planRelease(state, ALL)
        state = step.state
        return checkNotNull(step.result)
    }
}

class ClaimsSpec : DescribeSpec({
    describe("a claim") {
        it("fails if the owner registered after this host had read the host rows") {
            val table = ModelTable()
            val late = SteppedHost("host-late", table)
            late.register()
            late.readHosts()
            val owner = SteppedHost("host-owner", table)
            owner.register()
            owner.state = observeHosts(owner.state, table.hostRows().filter { it.lease.host == owner.id }, now).state
            table.change(owner.claim())
            late.readShards()
            table.change(late.claim()) shouldBe null
        }
        it("does not own shards whose release was planned before the reply to the claim") {
            val table = ModelTable()
            val host = SteppedHost("host-1", table)
            host.register()
            host.readHosts()
            val claim = host.claim()
            val version = checkNotNull(table.change(claim))
            SteppedHost("host-2", table).register()
            host.readHosts()
            host.readShards()
            val released = host.release().rows.map { it.shard }.toSet()
            host.state = confirmClaim(host.state, claim, version, now)
            host.state.owned.keys.intersect(released) shouldBe emptySet()
        }
    }

    describe("a guardian that has sent the end of a lease") {
        it("makes no more promises for that row, which may still be deleted late") {
            val table = ModelTable()
            val owner = SteppedHost("host-1", table)
            owner.register()
            val guardian = SteppedHost("host-2", table)
            guardian.readHosts()
            promise(guardian.state, owner.id, 7, now).result shouldBe true
            val afterExpiry = Moment(10_000_000_000, 10_000)
            val step = planExpiries(guardian.state, afterExpiry)
            step.result shouldBe listOf(ExpiryPlan(owner.id, 1))
            promise(step.state, owner.id, 7, afterExpiry).result shouldBe false
        }
    }
})
