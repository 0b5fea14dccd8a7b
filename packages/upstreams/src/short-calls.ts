/** Tells calls that upstreams make while they process another call, by the time that they have. */

/** A call counts as short if at most this time in milliseconds is left until its deadline: calls between services have 400 to 650 ms, calls from outside 800 ms and more. */
const maxShortCallMs = 700;

/**
 * Returns whether the call has so little time that it can't occupy a slot for long.
 * Such calls are mostly made by upstreams while they process another call, whose work
 * would be wasted by a refusal. A call whose objective has passed is a repeated one of a caller.
 *
 * @param timeLeft Milliseconds until its deadline.
 * @param objectiveLeft Milliseconds until its objective.
 */
export function isShortCall(timeLeft: number, objectiveLeft: number): boolean {
	return timeLeft <= maxShortCallMs && objectiveLeft > 1;
}
