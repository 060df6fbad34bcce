package figdeck.process

import figdeck.model.Template
import figdeck.model.hashKey
import figdeck.model.template
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.string.shouldEndWith
import kotlin.time.Duration.Companion.seconds

const val STADO_KEY = "stado-key"
const val KUUSALU_KEY = "kuusalu-key"

/** One model on [engines], one route on [services], a team that may use everything and one that may use nothing. */
fun eveningTemplate(
    engines: List<Member>,
    services: List<Member>,
    rate: Double = 1_000.0,
    burst: Int = 1_000,
): Template = template("evening") {
    engines.forEach {
        upstream(it.name) {
            address = it.address.toString()
            dataCentre = "centre-a"
        }
    }
    services.forEach {
        upstream(it.name) {
            address = it.address.toString()
            dataCentre = "centre-a"
            kind = "service"
        }
    }
    model("walks") { upstreams = engines.map { it.name } }
    route("slots") { upstreams = services.map { it.name } }
    team("stado") {
        key("desk", hashKey(STADO_KEY).hex)
        ratePerSecond = rate
        this.burst = burst
        models = listOf("walks")
        routes = listOf("slots")
    }
    team("kuusalu") { key("desk", hashKey(KUUSALU_KEY).hex) }
}.fold({ error(it.joinToString()) }, { it })

/** A chat turn asking for [maxTokens] tokens. */
fun chatBody(prompt: String, maxTokens: Int = 5, stream: Boolean = false): String =
    """{"model":"walks","max_tokens":$maxTokens,"stream":$stream,"messages":[{"role":"user","content":"$prompt"}]}"""

/** A chat turn under [key]. */
fun chat(body: String, key: String = STADO_KEY): Ask = Ask("POST", "/v1/chat/completions", body, key)

/** A line of an upload. */
fun batchLine(customId: String, prompt: String, maxTokens: Int = 5): String =
    """{"custom_id":"$customId","body":${chatBody(prompt, maxTokens)}}"""

/** Submits [lines] as a job through [daemon] and gives its path. */
suspend fun Fleet.submit(daemon: Member, lines: List<String>, headers: Map<String, String> = emptyMap()): String {
    val answer = send(daemon.address, Ask("POST", "/v1/batches", lines.joinToString("\n"), STADO_KEY, headers))
    check(answer.status == 202) { "the job was refused: ${answer.status} ${answer.body}" }
    return "/v1/batches/" + answer.body.substringAfter("\"id\":\"").substringBefore('"')
}

/** Reads [path] as the team's caller. */
suspend fun Fleet.read(daemon: Member, path: String): Answer = send(daemon.address, Ask("GET", path, key = STADO_KEY))

/** The caller's id and the content, or the kind of failure, of each line of a job's results. */
fun outcomes(results: String): List<String> = results.lines().filter { it.isNotEmpty() }.map { line ->
    val id = Regex("\"custom_id\":\"([^\"]*)\"").find(line)?.groupValues?.get(1)
    val end = Regex("\"(?:content|type)\":\"([^\"]*)\"").find(line)?.groupValues?.get(1)
    "$id: $end"
}

class WholePathSpec : DescribeSpec({
    val fleet = Fleet()
    val engines = listOf(fleet.engine("engine-1"), fleet.engine("engine-2"))
    val service = fleet.service("slots-1")
    val daemons = listOf(fleet.daemon("host-1"), fleet.daemon("host-2", "centre-b"))

    beforeSpec { fleet.apply(daemons[0], eveningTemplate(engines, listOf(service)), daemons) }
    afterSpec { fleet.close() }

    describe("two daemons before two engines and a service") {
        it("answer a chat turn, readable from either host") {
            val answer = fleet.send(daemons[0].address, chat(chatBody("Any slot?")))
            answer.status shouldBe 200
            answer.body shouldContain "\"content\":\"the ridge past mossy gates \""
            val id = answer.headers.getValue("x-request-id")
            val read = fleet.send(daemons[1].address, Ask("GET", "/v1/results/$id", key = STADO_KEY))
            read.body shouldContain "\"content\":\"the ridge past mossy gates \""
        }

        it("stream a chat turn") {
            val answer = fleet.send(daemons[1].address, chat(chatBody("Any slot?", stream = true)))
            answer.headers["content-type"] shouldBe "text/event-stream"
            Regex("\"content\":").findAll(answer.body).count() shouldBe 5
            answer.body shouldEndWith "data: [DONE]\n\n"
        }

        it("pass a slot check on, once") {
            val ask = Ask("POST", "/v1/services/slots/check", "{\"herd\":1}", STADO_KEY)
            val answer = fleet.send(daemons[0].address, ask)
            answer.status shouldBe 200
            fleet.send(service.address, Ask("GET", "/runs")).body shouldBe "1 /check {\"herd\":1}"
        }

        it("run a batch job, readable from either host") {
            val broken = """{"custom_id":"broken","body":{"model":"walks","max_tokens":"many"}}"""
            val lines = listOf(batchLine("a", "Any slot?"), broken, "{", batchLine("b", "Any slot?", 1_000_000))
            val batch = fleet.submit(daemons[0], lines)
            eventually(10.seconds) { "\"completed\"" in fleet.read(daemons[1], batch).body }
            fleet.read(daemons[0], batch).body shouldContain "\"items\":4,\"finished\":4,\"failed\":3"
            outcomes(fleet.read(daemons[1], "$batch/results").body) shouldBe listOf(
                "a: the ridge past mossy gates ",
                "broken: bad_request",
                "null: bad_request",
                "b: too_many_tokens",
            )
        }

        it("refuse an unknown key, and say that nothing ran") {
            val answer = fleet.send(daemons[0].address, chat(chatBody("x"), "stolen"))
            answer.status shouldBe 401
            val message = "the key is unknown or withdrawn: ask the operators for a new one"
            answer.body shouldBe """{"error":{"type":"unknown_key","message":"$message","ran":"no"}}"""
        }
    }
})
