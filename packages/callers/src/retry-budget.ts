/** Limits retries to a share of the calls, so that retries don't amplify an outage. */
import {SystemClock, type Clock, type Random} from '@ebonylead/base/base.js';
import {SystemRandom} from '@ebonylead/base/random.js';

/** Default number of tokens that each call adds. */
const defaultRatio = 0.1;

/** Default size of the reserve: the maximum number of retries at once after a time without any. */
const defaultMaxTokens = 10;

/** Time constant in milliseconds with which tokens that calls added expire: short compared with the window of a limit on retries. */
const tokenDecayMs = 2000;

/** Share of the tokens of a full account that is kept for the calls that upstreams make. */
const nestedShare = 0.25;

/** Time in milliseconds after the last such call in which tokens are kept. */
const nestedMemoryMs = 5000;

/** Tokens of one service on this node. */
type Account = {
	/** Tokens for retries; below zero after a retry on a part of a token. */
	tokens: number;

	/** Tokens spent on retries that were not admitted; they count for the next one, and don't expire. */
	staked: number;

	/** Tokens that recent calls added, decayed with their age, whether they were used or not. */
	added: number;
	addedAt: number;

	/** Number of tokens, above 0 and at most 1, that admits the next retry. */
	threshold: number;

	/** Monotonic time in milliseconds of the last nested call. */
	nestedAt: number;
};

/**
 * Keeps tokens for each service: a call adds a part of a token, and a retry takes a whole one.
 *
 * A node may hold what its recent calls added, and a reserve: the whole tokens
 * in its share of the fleet's reserve. It admits a retry from a random part of
 * a token on, so that in a fleet of any size the expected number of retries is
 * the number of tokens; docs/DESIGN.md has the bound.
 */
export class RetryBudget {
	readonly #ratio: number;
	readonly #getMaxTokens: () => number;
	readonly #clock: Clock;
	readonly #random: Random;
	readonly #accounts = new Map<string, Account>();

	/**
	 * @param ratio Tokens that each call adds.
	 * @param getMaxTokens Returns the node's share of the reserve; it may change with the size of the fleet.
	 */
	constructor(ratio = defaultRatio, getMaxTokens = () => defaultMaxTokens, clock: Clock = new SystemClock(), random: Random = new SystemRandom()) {
		this.#ratio = ratio;
		this.#getMaxTokens = getMaxTokens;
		this.#clock = clock;
		this.#random = random;
	}

	/**
	 * Records a call, which adds `ratio` tokens to the account of its service.
	 *
	 * @param isNested Whether an upstream has probably made the call while it processes another one.
	 */
	recordCall(service: string, isNested = false): void {
		const account = this.#getAccount(service);
		if (isNested) {
			account.nestedAt = this.#clock.now();
		}

		account.added += this.#ratio;
		account.tokens += this.#ratio;
	}

	/**
	 * Takes a token for a retry, and returns whether there was one. While upstreams make calls to the service, a
	 * part of the tokens is kept for these: a caller can return after a refusal, but the run that needs such a call is lost.
	 */
	admitRetry(service: string, isNested = false): boolean {
		const account = this.#getAccount(service);
		if (!isNested && account.tokens < this.#computeKept(account)) {
			return false;
		}

		if (account.tokens + account.staked < account.threshold) {
			account.staked += Math.max(0, account.tokens);
			account.tokens = Math.min(0, account.tokens);
			return false;
		}

		account.tokens -= 1 - account.staked;
		account.staked = 0;
		account.threshold = this.#createThreshold();
		return true;
	}

	/** Computes the number of tokens that only nested calls may take. */
	#computeKept({added, nestedAt}: Account): number {
		return this.#clock.now() - nestedAt < nestedMemoryMs ? (Math.floor(this.#getMaxTokens()) + added) * nestedShare : 0;
	}

	/** Returns the account of a service without the tokens that have expired. */
	#getAccount(service: string): Account {
		const now = this.#clock.now();
		const reserve = Math.floor(this.#getMaxTokens());
		let account = this.#accounts.get(service);
		if (account === undefined) {
			account = {
				tokens: reserve, staked: 0, added: 0, addedAt: now, threshold: this.#createThreshold(), nestedAt: Number.NEGATIVE_INFINITY,
			};
			this.#accounts.set(service, account);
		}

		account.added *= Math.exp((account.addedAt - now) / tokenDecayMs);
		account.addedAt = now;
		account.tokens = Math.min(account.tokens, reserve + account.added);
		return account;
	}

	#createThreshold(): number {
		return 1 - this.#random.next();
	}
}
