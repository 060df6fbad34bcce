package figdeck.cli.query

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.long
import figdeck.bench.OVERLOAD_TABLE_HEADING
import figdeck.bench.TABLE_HEADING
import figdeck.bench.TraceKind
import figdeck.bench.deployments
import figdeck.bench.measure
import figdeck.bench.measureOverload
import figdeck.bench.schedulings
import figdeck.bench.toTableRow

private const val DEFAULT_SEED = 5L

/** Measures the scheduling decisions in virtual time and compares them with simple baselines. */
internal class Bench : CliktCommand("bench") {
    private val seed by option(help = "Seed of the traces.").long().default(DEFAULT_SEED)

    override fun help(context: Context): String = "Measure the scheduling decisions on simulated engines."

    override fun run() {
        echo(TABLE_HEADING)
        for (deployment in deployments) {
            for (traceKind in TraceKind.entries) {
                schedulings.forEach { echo(measure(deployment, it, traceKind, seed).toTableRow()) }
            }
        }
        echo("")
        echo(OVERLOAD_TABLE_HEADING)
        for (deployment in deployments) {
            schedulings.forEach { echo(measureOverload(deployment, it, seed).toTableRow()) }
        }
    }
}
