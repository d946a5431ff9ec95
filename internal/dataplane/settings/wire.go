package settings

// wireSettings is the settings object with the platform's key names. Unknown keys are ignored.
type wireSettings struct {
	Gateways int    `json:"balancers"`
	Self     int    `json:"me"`
	Zone     string `json:"myZone"`
	Units    struct {
		MaxRequestUnits   int     `json:"maxUnits"`
		PeerMessageRate   float64 `json:"peerIntake"`
		UnitsFromResponse bool    `json:"truedUp"`
	} `json:"familyInfo"`
	LoadReports struct {
		CarriedBy string `json:"how"` // "probe" or "answers"
	} `json:"feedback"`
	Limits struct {
		CancelAllowed     bool    `json:"cancel"`
		ConnIdleS         float64 `json:"connIdleS"`
		DialTimeoutS      float64 `json:"dialTimeoutS"`
		MaxOpenRequests   int     `json:"mostHeld"`
		MaxAttempts       int     `json:"maxAttempts"`
		MaxRetryAfterS    float64 `json:"maxRetryAfterS"`
		HedgingAllowed    bool    `json:"parallelTries"`
		PeerMessages      bool    `json:"peerMessages"`
		ProbesAllowed     bool    `json:"probes"`
		RetryAfterAllowed bool    `json:"retryAfter"`
	} `json:"limits"`
	Plans []wirePlan `json:"packages"`
	Costs struct {
		CrossZoneCost float64 `json:"crossZone"`
	} `json:"prices"`
	Classes []wireClass `json:"profiles"`
	Rules   struct {
		ResponseSlackS       float64 `json:"answerSlackS"`
		SlowStartMinFraction float64 `json:"coldFrom"`
		SlowStartS           float64 `json:"coldS"`
		CollapseMultiple     float64 `json:"fallMultiple"`
		CollapseWindowS      float64 `json:"fallS"`
	} `json:"rules"`
	Weights struct {
		WorstPlanWeight float64 `json:"worstTenant"`
	} `json:"scoreParts"`
	MinBatchIntervalS float64 `json:"tickS"`
}

// wirePlan is a plan with the platform's key names.
type wirePlan struct {
	Name                    string  `json:"name"`
	Rate                    float64 `json:"unitsPerS"`
	Burst                   float64 `json:"peakUnits"`
	MaxConcurrency          int     `json:"parallel"`
	Weight                  float64 `json:"pays"`
	OverQuotaWeightFraction float64 `json:"extraWorth"`
	OverQuotaCostFraction   float64 `json:"excessCost"`
	HardLimitRate           float64 `json:"hardRate"`
	HardLimitBurst          float64 `json:"capDepth"`
	HardLimitSlack          float64 `json:"ceilingSlack"`
}

// wireClass is a class of requests with the platform's key names.
type wireClass struct {
	Name                string  `json:"name"`
	LatencyObjectiveS   float64 `json:"aimS"`
	ObjectiveWorkFactor float64 `json:"aimStretch"`
	DeadlineS           float64 `json:"deadlineS"`
	Idempotency         string  `json:"effect"`
	KeyScope            string  `json:"keyScope"`
	KeyTTLS             float64 `json:"keyTtlS"`
	LateWeightFraction  float64 `json:"lateWorth"`
	Stream              bool    `json:"stream"`
	PriorityWeight      float64 `json:"worth"`
}
