/** Tells nested calls, which upstreams make while they process another call, by the time that they have. */

/** Maximum time in milliseconds until the deadline of a nested call: calls between services have 400 to 650 ms, calls from outside 800 ms and more. */
const maxNestedCallMs = 700;

/**
 * Returns whether the call has so little time that an upstream has probably made it, for a call whose work
 * would be wasted by a refusal. A call whose objective has passed is a repeated one of a caller.
 *
 * @param timeLeft Milliseconds until its deadline.
 * @param objectiveLeft Milliseconds until its objective.
 */
export function isNestedCall(timeLeft: number, objectiveLeft: number): boolean {
	return timeLeft <= maxNestedCallMs && objectiveLeft > 1;
}

/** Returns whether only the deadline of a call is considered, as an upstream has probably made it. */
export function isNestedRequest({deadline, objective}: {readonly deadline: number; readonly objective: number}, now: number): boolean {
	return isNestedCall(deadline - now, objective - now);
}
