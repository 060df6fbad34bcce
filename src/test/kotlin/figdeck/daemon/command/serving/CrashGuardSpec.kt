package figdeck.daemon.command.serving

import figdeck.model.UpstreamId
import figdeck.model.serving.CrashSuspect
import figdeck.model.serving.PromptPart
import figdeck.model.serving.RequestFingerprint
import figdeck.model.serving.UpstreamStart
import figdeck.process.eventually
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private const val UPSTREAMS = 6
private const val SEEDS = 30
private val deadly = PromptPart("deadly")
private val intro = PromptPart("intro")
private val topic = PromptPart("topic")
private val reactionTime = 5.seconds

private suspend fun CrashGuard.lose(request: String, upstream: Int, suspects: List<CrashSuspect>) =
    recordLoss(request, UpstreamStart(UpstreamId("e-$upstream"), null), suspects)

private suspend fun <R> withFleet(hosts: Int, use: suspend (GuardedFleet) -> R): R = GuardedFleet(hosts).use { use(it) }

/** A request that waits for its first event at [upstream]. */
private data class Waiting(
    val id: String,
    val guard: CrashGuard,
    val upstream: Int,
    val suspects: List<CrashSuspect>,
)

/**
 * Two minutes in which upstreams crash one or several at a time, whatever they run. Every fifth prompt is of a rare
 * topic, and every third request is one of a few that are repeated all the time. Returns the number of requests that
 * were held back.
 */
private suspend fun heldWhileUpstreamsCrash(fleet: GuardedFleet, random: Random, requests: Random): Int {
    var held = 0
    repeat(1_200) { step ->
        fleet.advance(100.milliseconds)
        val arrivals = List(4) { i ->
            val topic = if (random.nextInt(5) == 0) "rare${random.nextInt(1_000)}" else "topic${random.nextInt(60)}"
            val repeated = RequestFingerprint("repeated${requests.nextInt(20)}")
            Waiting(
                id = "$step-$i",
                guard = fleet.guards.random(random),
                upstream = random.nextInt(UPSTREAMS),
                suspects = listOf(
                    PromptPart("intro${random.nextInt(8)}"),
                    PromptPart(topic),
                    if (requests.nextInt(3) == 0) repeated else RequestFingerprint("$step-$i"),
                ),
            )
        }
        val sent = arrivals.filter { it.guard.holdOf(it.suspects) == null }
        held += arrivals.size - sent.size
        val crashed = if (random.nextInt(8) == 0) {
            List(1 + random.nextInt(UPSTREAMS)) {
                random.nextInt(UPSTREAMS)
            }
        } else {
            emptyList()
        }
        for (request in sent) {
            if (request.upstream in crashed) {
                request.guard.lose(request.id, request.upstream, request.suspects)
            } else {
                request.guard.recordAnswer(request.suspects)
            }
        }
        fleet.settle()
    }
    return held
}

class CrashGuardSpec : DescribeSpec({
    describe("a part whose requests lose one upstream after the other") {
        it("is held back at every host, whichever hosts sent the requests") {
            withFleet(3) { fleet ->
                fleet.guards.forEachIndexed { i, guard ->
                    guard.lose("request-$i", i, listOf(intro, deadly))
                    guard.recordAnswer(listOf(intro))
                }
                eventually(reactionTime) { fleet.guards.all { it.holdOf(listOf(intro, deadly))?.suspect == deadly } }
                fleet.guards.count { it.holdOf(listOf(intro, topic)) != null } shouldBe 0
            }
        }

        it("is held back at the host that lost them while the store is down, and at all hosts after that") {
            withFleet(2) { fleet ->
                fleet.isStoreDown = true
                val (first, second) = fleet.guards
                (1..3).forEach { first.lose("request-$it", it, listOf(intro, deadly)) }
                first.recordAnswer(listOf(intro))
                first.holdOf(listOf(deadly))?.suspect shouldBe deadly
                second.holdOf(listOf(deadly)) shouldBe null
                fleet.isStoreDown = false
                eventually(reactionTime) { second.holdOf(listOf(deadly))?.suspect == deadly }
            }
        }
    }

    describe("a request that loses one upstream after the other, whose prompt's parts others have too") {
        val deadlyRequest = listOf(intro, topic, RequestFingerprint("deadly"))
        val soundRequest = listOf(intro, topic, RequestFingerprint("sound"))

        it("is held back at every host after its third loss, before any other request is answered there") {
            withFleet(3) { fleet ->
                val (first, second) = fleet.guards
                first.recordAnswer(soundRequest)
                (1..2).forEach { first.lose("attempt-1", it, deadlyRequest) }
                fleet.settle()
                fleet.guards.count { it.holdOf(deadlyRequest) != null } shouldBe 0
                second.lose("attempt-2", 3, deadlyRequest)
                second.holdOf(deadlyRequest)?.suspect shouldBe RequestFingerprint("deadly")
                eventually(reactionTime) { fleet.guards.all { it.holdOf(deadlyRequest) != null } }
                fleet.guards.count { it.holdOf(soundRequest) != null } shouldBe 0
            }
        }
    }

    describe("a sound part") {
        it("that another host has answered a short time ago is cleared at all hosts") {
            withFleet(2) { fleet ->
                val (first, second) = fleet.guards
                second.recordAnswer(listOf(topic))
                (1..3).forEach { first.lose("request-$it", it, listOf(topic)) }
                first.recordAnswer(listOf(intro))
                eventually(reactionTime) { fleet.guards.all { it.holdOf(listOf(topic)) == null } }
            }
        }

        it("is sent without the part with which it was held back, and cleared by the answer") {
            withFleet(2) { fleet ->
                val (first, second) = fleet.guards
                (1..3).forEach { first.lose("request-$it", it, listOf(topic, deadly)) }
                first.recordAnswer(listOf(intro))
                eventually(reactionTime) { second.holdOf(listOf(topic, deadly)) != null }
                second.holdOf(listOf(topic)) shouldBe null
                second.recordAnswer(listOf(topic))
                eventually(reactionTime) { fleet.guards.all { it.holdOf(listOf(deadly))?.suspect == deadly } }
                fleet.guards.count { it.holdOf(listOf(topic)) != null } shouldBe 0
            }
        }
    }

    describe("upstreams that crash by themselves") {
        it("hold no prompt back when they answer none") {
            withFleet(2) { fleet ->
                fleet.guards.forEach { it.recordAnswer(listOf(intro)) }
                repeat(100) { i ->
                    fleet.advance(300.milliseconds)
                    fleet.guards.forEach { it.lose("$i", i % UPSTREAMS, listOf(intro, topic)) }
                }
                fleet.guards.count { it.holdOf(listOf(intro, topic)) != null } shouldBe 0
            }
        }

        it("hold no request back, in $SEEDS seeded runs") {
            val held = (1..SEEDS).associateWith { seed ->
                withFleet(3) { heldWhileUpstreamsCrash(it, Random(seed), requests = Random(-seed)) }
            }
            held.filterValues { it > 0 } shouldBe emptyMap()
        }
    }
})
