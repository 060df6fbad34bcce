package figdeck.daemon.command.serving

import figdeck.http.client.ExchangeFailure
import figdeck.http.client.LossCause
import figdeck.query.serving.SendEnding

/** How a send that failed with this ended. [hasBegun] tells whether a part of the answer had come. */
internal fun ExchangeFailure.ending(hasBegun: Boolean): SendEnding = when (this) {
    is ExchangeFailure.NotSent -> SendEnding.OTHER
    is ExchangeFailure.Lost -> when (cause) {
        LossCause.CONNECTION_ENDED -> earlyEnding(hasBegun)
        LossCause.INVALID_RESPONSE, LossCause.TIMEOUT -> SendEnding.OTHER
    }
}

/** How a send with this result ended. [hasBegun] tells whether a part of the answer had come. */
internal fun RelayResult.Broken.ending(hasBegun: Boolean): SendEnding =
    if (hasEnded) earlyEnding(hasBegun) else SendEnding.OTHER

private fun earlyEnding(hasBegun: Boolean): SendEnding =
    if (hasBegun) SendEnding.LOST_IN_ANSWER else SendEnding.LOST_BEFORE_ANSWER
