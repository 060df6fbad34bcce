package figdeck.command.dispatch

import com.dynatrace.hash4j.hashing.Hashing
import figdeck.model.HostId
import figdeck.model.UpstreamId

private const val HASH_BITS_DROPPED = 11
private const val HASH_UNIT = 1.0 / (1L shl 53)

/** A number from 0 to below 1 that differs between hosts, so that not all send to [upstream] at the same time. */
internal fun hashToUnit(host: HostId, upstream: UpstreamId): Double {
    val hash = Hashing.komihash5_0().hashStream().putString(host.value).putString(upstream.value).asLong
    return (hash ushr HASH_BITS_DROPPED) * HASH_UNIT
}
