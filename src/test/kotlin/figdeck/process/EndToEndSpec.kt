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

/** A template with a model on [engines], a route on [services], a team that may use both and one without access. */
fun eveningTemplate(
    engines: List<FleetProcess>,
    services: List<FleetProcess>,
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

/** The body of a chat turn that requests up to [maxTokens] tokens. */
fun chatBody(prompt: String, maxTokens: Int = 5, stream: Boolean = false): String =
    """{"model":"walks","max_tokens":$maxTokens,"stream":$stream,"messages":[{"role":"user","content":"$prompt"}]}"""

/** A chat turn with [body], sent with [key]. */
fun chatRequest(body: String, key: String = STADO_KEY): TestRequest = TestRequest(
    "POST",
    "/v1/chat/completions",
    body,
    key
)

/** An item of a batch job, as a line of the upload. */
fun batchLine(customId: String, prompt: String, maxTokens: Int = 5): String =
    """{"custom_id":"$customId","body":${chatBody(prompt, maxTokens)}}"""

/** Submits [lines] as a batch job through [daemon] and returns its path. */
suspend fun Fleet.submit(daemon: FleetProcess, lines: List<String>, headers: Map<String, String> = emptyMap()): String {
    val response = send(
        daemon.address,
        TestRequest("POST", "/v1/batches", lines.joinToString("\n"), STADO_KEY, headers)
    )
    check(response.status == 202) { "the job was refused: ${response.status} ${response.body}" }
    return "/v1/batches/" + response.body.substringAfter("\"id\":\"").substringBefore('"')
}

/** Reads [path] through [daemon] with the team's key. */
suspend fun Fleet.read(daemon: FleetProcess, path: String): TestResponse = send(
    daemon.address,
    TestRequest("GET", path, key = STADO_KEY)
)

/** The custom id of each line of a job's [results] and its content or error type. */
fun outcomes(results: String): List<String> = results.lines().filter { it.isNotEmpty() }.map { line ->
    val id = Regex("\"custom_id\":\"([^\"]*)\"").find(line)?.groupValues?.get(1)
    val end = Regex("\"(?:content|type)\":\"([^\"]*)\"").find(line)?.groupValues?.get(1)
    "$id: $end"
}

class EndToEndSpec : DescribeSpec({
    val fleet = Fleet()
    val engines = listOf(fleet.engine("engine-1"), fleet.engine("engine-2"))
    val service = fleet.service("slots-1")
    val daemons = listOf(fleet.daemon("host-1"), fleet.daemon("host-2", "centre-b"))

    beforeSpec { fleet.applyTemplate(daemons[0], eveningTemplate(engines, listOf(service)), daemons) }
    afterSpec { fleet.close() }

    describe("two daemons with two engines and a service") {
        it("answer a chat turn and serve its result from either host") {
            val response = fleet.send(daemons[0].address, chatRequest(chatBody("Any slot?")))
            response.status shouldBe 200
            response.body shouldContain "\"content\":\"the ridge past mossy gates \""
            val id = response.headers.getValue("x-request-id")
            val read = fleet.send(daemons[1].address, TestRequest("GET", "/v1/results/$id", key = STADO_KEY))
            read.body shouldContain "\"content\":\"the ridge past mossy gates \""
        }

        it("stream a chat turn") {
            val response = fleet.send(daemons[1].address, chatRequest(chatBody("Any slot?", stream = true)))
            response.headers["content-type"] shouldBe "text/event-stream"
            Regex("\"content\":").findAll(response.body).count() shouldBe 5
            response.body shouldEndWith "data: [DONE]\n\n"
        }

        it("forward a slot check to the service exactly once") {
            val request = TestRequest("POST", "/v1/services/slots/check", "{\"herd\":1}", STADO_KEY)
            val response = fleet.send(daemons[0].address, request)
            response.status shouldBe 200
            fleet.send(service.address, TestRequest("GET", "/runs")).body shouldBe "1 /check {\"herd\":1}"
        }

        // Guards against a path that ends the request line at the service and adds lines of the caller's choice.
        it("forward a path with an encoded line break to the service as a path") {
            val target = "/v1/services/slots/a%20b%0D%0AX-Team:%20c"
            val response = fleet.send(daemons[0].address, TestRequest("POST", target, "{}", STADO_KEY))
            response.status shouldBe 200
            response.body shouldBe "{\"path\":\"/a b\r\nX-Team: c\",\"free\":true,\"run\":1}"
        }

        it("run a batch job and serve its results from either host") {
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

        it("refuse an unknown key and report that nothing ran") {
            val response = fleet.send(daemons[0].address, chatRequest(chatBody("x"), "stolen"))
            response.status shouldBe 401
            val message = "the key is unknown or withdrawn: ask the operators for a new one"
            response.body shouldBe """{"error":{"type":"unknown_key","message":"$message","ran":"no"}}"""
        }
    }
})
