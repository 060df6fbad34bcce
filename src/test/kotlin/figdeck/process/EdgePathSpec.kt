package figdeck.process

import figdeck.model.Address
import figdeck.standin.RunnerStandIn
import figdeck.standin.StreamSettings
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.maps.shouldNotContainKey
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import java.util.Base64
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private const val HOST = "desk.example"
private const val KEY = "key-of-walkers"
private const val PLAN = """{"Version":1,"Routes":[
  {"Name":"desk","Host":"$HOST","Prefix":"/desk/","Kind":"idempotent","TimeoutMs":5000,"TargetLatencyMs":1000,
   "Service":"pool","MaxAttempts":2},
  {"Name":"chat","Host":"$HOST","Prefix":"/chat/","Kind":"streaming","TimeoutMs":5000,"TargetLatencyMs":1000,
   "Service":"pool","MaxAttempts":2,"Resumable":true},
  {"Name":"notes","Host":"$HOST","Prefix":"/notes/","Kind":"batch","TimeoutMs":15000,"TargetLatencyMs":1000,
   "Service":"pool","MaxAttempts":3,"RunTargetMs":18000,"MaxWaitS":60,"MaxCount":100000}],
 "Limits":{"MaxBodyBytes":1000000},"Tenants":[{"Name":"walkers","ApiKeys":["$KEY"],"RatePerS":500,"Burst":500}]}"""

private fun encoded(text: String): String = Base64.getEncoder().encodeToString(text.encodeToByteArray())

private fun row(table: String, key: String, value: String) =
    """{"Table":"$table","part":"","Key":"$key","Value":"${encoded(value)}"}"""

private fun ask(method: String, target: String, id: String, body: String = "", headers: Map<String, String> = mapOf()) =
    Ask(method, target, body, KEY, mapOf("Host" to HOST, "X-Attempt-Id" to id, "X-Deadline-Ms" to "4000") + headers)

private fun job(vararg bodies: String): String {
    val items = bodies.mapIndexed { i, body ->
        """{"Id":"item-$i","Path":"/notes/$i","Headers":{"X-Model":"m"},"Body":"${encoded(body)}","Tokens":10}"""
    }
    return """{"Requests":[${items.joinToString(",")}]}"""
}

private suspend fun Fleet.publish(runners: Map<String, RunnerStandIn>) {
    val entries = runners.map { (id, runner) -> row("servers", id, runner.encodeEntry("pool")) }
    val rows = listOf(row("op", "config", PLAN)) + entries
    val body = """{"ExpectedRev":[],"Puts":[${rows.joinToString(",")}],"Remove":[]}"""
    send(platform.address, Ask("POST", "/rows-tx", body)).status shouldBe 200
}

private suspend fun Fleet.awaitReady(daemons: List<Member>) {
    daemons.forEach { daemon -> eventually(20.seconds) { send(daemon.addresses[1], Ask("GET", "/")).status == 200 } }
}

private suspend fun Fleet.results(daemon: Address, id: String): String =
    send(daemon, ask("GET", "/lots/$id?After=0", "read", headers = mapOf("X-Wait-Ms" to "500"))).body

class EdgePathSpec : DescribeSpec({
    describe("two daemons on the users' platform") {
        val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
        val fleet = Fleet()
        val remainingBreaks = AtomicInteger(1)
        val one = RunnerStandIn(group, "r-1", StreamSettings(remainingBreaks = remainingBreaks))
        val two = RunnerStandIn(group, "r-2", StreamSettings(remainingBreaks = remainingBreaks))
        fleet.publish(mapOf("r-1" to one, "r-2" to two))
        val daemons = listOf("a", "b").map { fleet.edge("host-$it") }
        fleet.awaitReady(daemons)
        afterSpec {
            fleet.close()
            one.close()
            two.close()
            group.shutdownGracefully()
        }

        it("pass a plain request on for its team, without its key") {
            val answers = daemons.mapIndexed { i, daemon ->
                fleet.send(daemon.address, ask("POST", "/desk/7?x=1", "p-$i", "hello"))
            }
            answers.map { it.status to it.body } shouldBe List(2) { 200 to "answer to hello" }
            answers[0].headers["x-response-stamp"]!! shouldContain "stamp-r-"
            val seen = (one.received + two.received).first { it.headers["x-attempt-id"] == "p-0" }
            seen.target shouldBe "/desk/7?x=1"
            seen.headers["x-tenant"] shouldBe "walkers"
            seen.headers["host"] shouldBe HOST
            seen.headers shouldNotContainKey "authorization"
        }

        it("refuse an unknown key and an unknown path") {
            val unknown = ask("POST", "/desk/7", "p-9").copy(key = "other")
            fleet.send(daemons[0].address, unknown).status shouldBe 401
            fleet.send(daemons[0].address, ask("POST", "/none/7", "p-9")).status shouldBe 404
        }

        it("finish a stream that an upstream breaks off, within the one answer") {
            val answer = fleet.send(daemons[0].address, ask("POST", "/chat/1", "s-1"))
            answer.status shouldBe 200
            answer.body shouldBe (1..5).joinToString("") { "id: $it\ndata: word $it\n\n" }
            val runs = (one.received + two.received).filter { it.headers["x-attempt-id"] == "s-1" }
            runs.map { it.headers["last-event-id"] }.toSet() shouldBe setOf(null, "2")
        }

        it("keep a batch job once, run it and show its results everywhere") {
            val body = job("first", "impossible", "third")
            fleet.send(daemons[0].address, ask("POST", "/notes/j", "job-1", body)).status shouldBe 202
            fleet.send(daemons[1].address, ask("POST", "/notes/j", "job-1", body)).status shouldBe 202
            eventually(10.seconds) { "\"Next\":3" in fleet.results(daemons[1].address, "job-1") }
            val text = fleet.results(daemons[1].address, "job-1")
            text shouldBe fleet.results(daemons[0].address, "job-1")
            text shouldContain "\"Total\":3"
            val output = (1..5).joinToString("\\n") { "word $it" }
            text shouldContain """{"Id":"item-0","State":"completed","Output":"$output"}"""
            text shouldContain """{"Id":"item-1","State":"dead_letter","Output":""}"""
            fleet.send(daemons[1].address, ask("GET", "/items/job-1?Id=item-2", "b")).body shouldBe "third"
            fleet.send(daemons[1].address, ask("GET", "/lots/none?After=0", "b")).status shouldBe 404
        }

        it("end a batch job on any host") {
            fleet.send(daemons[0].address, ask("POST", "/notes/j", "job-2", job("first"))).status shouldBe 202
            fleet.send(daemons[1].address, ask("DELETE", "/lots/job-2", "e")).status shouldBe 200
            fleet.send(daemons[0].address, ask("DELETE", "/lots/job-2", "e")).status shouldBe 200
        }

        it("go on serving requests while the store is away, and keep no job") {
            fleet.platformFaults("outage=true")
            fleet.send(daemons[1].address, ask("POST", "/desk/7", "o-1", "hello")).status shouldBe 200
            fleet.send(daemons[1].address, ask("POST", "/notes/j", "job-3", job("first"))).status shouldBe 503
            val late = fleet.edge("host-c", seeds = daemons)
            fleet.awaitReady(listOf(late))
            fleet.send(late.address, ask("POST", "/desk/7", "o-2", "hello")).status shouldBe 200
            fleet.platformFaults("outage=false")
        }
    }

    describe("a batch job whose host is lost") {
        it("is finished by another, from what was kept") {
            val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
            Fleet().use { fleet ->
                RunnerStandIn(group, "r-1", StreamSettings(eventCount = 100, eventInterval = 20.milliseconds)).use { runner ->
                    fleet.publish(mapOf("r-1" to runner))
                    val daemons = listOf("a", "b").map { fleet.edge("host-$it") }
                    fleet.awaitReady(daemons)
                    fleet.send(daemons[0].address, ask("POST", "/notes/j", "job-1", job("x", "y"))).status shouldBe 202
                    eventually(10.seconds) { runner.received.isNotEmpty() }
                    daemons[0].kill()
                    eventually(25.seconds) { "\"Next\":2" in fleet.results(daemons[1].address, "job-1") }
                    fleet.results(daemons[1].address, "job-1") shouldContain "word 100"
                }
            }
            group.shutdownGracefully()
        }
    }
})
