package figdeck.process

import figdeck.standin.RunnerStandIn
import io.kotest.matchers.shouldBe
import java.io.File
import java.util.Base64
import kotlin.time.Duration.Companion.seconds

internal fun base64(text: String): String = Base64.getEncoder().encodeToString(text.encodeToByteArray())

/** A row as a transaction of the platform's store writes it. */
internal fun storeRow(table: String, key: String, value: String): String =
    """{"Table":"$table","part":"","Key":"$key","Value":"${base64(value)}"}"""

/** Writes [puts] to the store and removes the rows [removedUpstreams] of upstreams. */
internal suspend fun Fleet.writeRows(puts: List<String>, removedUpstreams: List<String> = emptyList()) {
    val removed = removedUpstreams.joinToString(",") { """{"Table":"servers","part":"","Key":"$it"}""" }
    val body = """{"ExpectedRev":[],"Puts":[${puts.joinToString(",")}],"Remove":[$removed]}"""
    send(platform.address, TestRequest("POST", "/rows-tx", body)).status shouldBe 200
}

/** Writes [plan] and the entries of [runners], by their ids, to the store. */
internal suspend fun Fleet.storePlanAndRunners(plan: String, runners: Map<String, RunnerStandIn>) {
    val entries = runners.map { (id, runner) -> storeRow("servers", id, runner.encodeEntry("pool")) }
    writeRows(listOf(storeRow("op", "config", plan)) + entries)
}

/** Waits until the load balancer would send callers to all [daemons]. */
internal suspend fun Fleet.awaitReady(daemons: List<FleetProcess>) {
    daemons.forEach { daemon ->
        eventually(20.seconds) { send(daemon.addresses[1], TestRequest("GET", "/")).status == 200 }
    }
}

/** The flags of a production daemon on a machine with 1.5 cores, without those that need its package. */
internal fun productionFlags(): List<String> {
    val run = File("deploy/system.toml").readLines().single { it.startsWith("run = ") }
    return run.substringAfter("java ").substringBefore(" -jar").split(' ').filterNot { "SharedArchiveFile" in it } +
        "-XX:ActiveProcessorCount=2"
}

/** The lines of the log of [process] about memory that ran out. */
internal fun memoryErrors(process: FleetProcess): List<String> =
    process.log.readLines().filter { Regex("OutOf\\w*MemoryError") in it }
