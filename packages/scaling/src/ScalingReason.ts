/** Why a number of engines was decided on, or why none was. */
enum ScalingReason {
  /** All places of the engines have been in use for a whole sustain window. */
  Load = 'load',
  /** Requests have waited for models that have no room, for a whole sustain window. */
  Memory = 'memory',
  /** There are fewer engines than the minimum. */
  BelowMin = 'below_min',
  /** The engines that stay have room to spare for the peak of the window. */
  Spare = 'spare',

  /** The list of engines is old. */
  ViewOld = 'view_old',
  StoreAway = 'store_away',
  /** Too many instances have not reported their demand. */
  ReportsMissing = 'reports_missing',
  OutOfService = 'out_of_service',
  /** The observations do not cover the window, or have a gap. */
  Observing = 'observing',
  NoEngines = 'no_engines',

  /** More engines are wanted than the maximum. */
  AtMax = 'at_max',
  AtMin = 'at_min',
  /** There are so many more engines than the maximum that no order within the limits gives up a single one. */
  AboveMax = 'above_max',
  /** The number has been ordered already. */
  OrderStands = 'order_stands',
  /** Engines start, leave or have ended, or an order was given within the window. */
  Settling = 'settling',
  /** Nothing was asked for, which says nothing about what will be. */
  NoDemand = 'no_demand',
  /** The peak of the window needs the engines. */
  Peak = 'peak',
  /** Demand rises. */
  Rising = 'rising',
  /** An engine has the only copy of a model in use. */
  SoleCopy = 'sole_copy',
  /** The engines that stay would have no room for the models in use. */
  ModelsNeedRoom = 'models_need_room',
}

export default ScalingReason;
