package figdeck.cli

import arrow.core.Either
import arrow.core.raise.nullable
import figdeck.model.DataCentre
import figdeck.model.Fault
import figdeck.model.FaultCollector
import figdeck.model.HostId
import figdeck.model.Region
import figdeck.model.parseAddress

private const val MIN_SECRET_LENGTH = 8

/** The unparsed settings of a daemon. All stay text until [validate] has checked them together. */
internal data class RawSettings(
    val host: String,
    val dataCentre: String,
    val region: String,
    val callerAddress: String,
    val peerAddress: String,
    val operatorAddress: String,
    val platformAddress: String,
    val peerSecret: String,
    val operatorSecret: String,
    val upstreamSecret: String,
    val traceEndpoint: String?,
)

/** Validates every setting. Returns either the settings or all faults, each with the flag that it belongs to. */
internal fun RawSettings.validate(): Either<List<Fault>, Settings> {
    val faults = FaultCollector("")
    val hostId = faults.attempt("--host") { HostId(host) }
    val centre = faults.attempt("--data-centre") { DataCentre(dataCentre) }
    val regionName = faults.attempt("--region") { Region(region) }
    val caller = faults.attempt("--caller-address") { parseAddress(callerAddress) }
    val peer = faults.attempt("--peer-address") { parseAddress(peerAddress) }
    val operator = faults.attempt("--operator-address") { parseAddress(operatorAddress) }
    val platform = faults.attempt("--platform-address") { parseAddress(platformAddress) }
    faults.expectSecret("--peer-secret", peerSecret)
    faults.expectSecret("--operator-secret", operatorSecret)
    faults.expectSecret("--upstream-secret", upstreamSecret)
    return faults.result {
        nullable {
            Settings(
                host = hostId.bind(),
                dataCentre = centre.bind(),
                region = regionName.bind(),
                callerAddress = caller.bind(),
                peerAddress = peer.bind(),
                operatorAddress = operator.bind(),
                platformAddress = platform.bind(),
                credentials = Credentials(peerSecret, operatorSecret, upstreamSecret),
                traceEndpoint = traceEndpoint,
            )
        }
    }
}

private fun FaultCollector.expectSecret(flag: String, secret: String) {
    expect(
        secret.length >= MIN_SECRET_LENGTH,
        flag,
        "the secret is too short: set at least $MIN_SECRET_LENGTH characters"
    )
}
